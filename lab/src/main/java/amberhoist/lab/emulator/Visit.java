package amberhoist.lab.emulator;

import amberhoist.core.SlotTable;

/** One connection of a client to a proxy, from its first line to its end. */
final class Visit {
  final EmulatedClient client;
  final EmulatedProxy proxy;
  final int life; // of the proxy: a proxy that was restarted knows nothing of it
  final long sentAt;
  final long deadline;
  long number;
  long invocation = SlotTable.NONE;
  Attempt joined;
  int out; // attempts that have been sent and not been given up or answered
  int calls;
  int answers;
  boolean closed;
  boolean gaveUp;

  Visit(EmulatedClient client, EmulatedProxy proxy, long sentAt, long deadline) {
    this.client = client;
    this.proxy = proxy;
    this.life = proxy.life();
    this.sentAt = sentAt;
    this.deadline = deadline;
  }
}
