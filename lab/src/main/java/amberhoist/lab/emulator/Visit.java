package amberhoist.lab.emulator;

import amberhoist.core.SlotTable;

/** One connection of a client to a proxy, from its open request to its end. */
final class Visit {
  final EmulatedClient client;
  final EmulatedProxy proxy;
  final int life; // the proxy's incarnation; a restart ends the session
  final long sentAt; // when the client started to connect
  final long deadline;
  long number; // its id in the proxy's table of connections
  long invocation = SlotTable.NONE; // its id in the core
  Attempt joined; // the attempt whose connection is relayed; null before UP
  int out; // attempts in flight: sent, neither answered nor abandoned
  int calls; // attempts sent
  int answers; // final answers from the proxy
  boolean closed; // at the proxy
  boolean gaveUp; // closed by the client

  Visit(EmulatedClient client, EmulatedProxy proxy, long sentAt, long deadline) {
    this.client = client;
    this.proxy = proxy;
    this.life = proxy.life();
    this.sentAt = sentAt;
    this.deadline = deadline;
  }
}
