package amberhoist.lab.emulator;

import amberhoist.core.SlotTable;

/** One connection of a client to a proxy, from its open request to its end. */
final class ClientSession {
  final EmulatedClient client;
  final EmulatedProxy proxy;
  final int incarnation; // the proxy's incarnation; a restart ends the session
  final long startedAt; // when the client started to connect
  final long deadline;
  long id; // its id in the proxy's table of connections
  long invocationId = SlotTable.NONE; // its id in the core
  Attempt relayedAttempt; // the attempt whose connection is relayed; null before UP
  int attemptsInFlight; // sent, neither answered nor abandoned
  int attemptsSent;
  int answerCount; // final answers from the proxy
  boolean closed; // at the proxy
  boolean closedByClient;

  ClientSession(EmulatedClient client, EmulatedProxy proxy, long sentAt, long deadline) {
    this.client = client;
    this.proxy = proxy;
    this.incarnation = proxy.incarnation();
    this.startedAt = sentAt;
    this.deadline = deadline;
  }
}
