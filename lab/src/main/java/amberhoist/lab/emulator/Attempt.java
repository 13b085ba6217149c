package amberhoist.lab.emulator;

/** An attempt: one connection of a proxy to a provider, from the connect to its end. */
final class Attempt {
  final EmulatedProxy proxy;
  final int incarnation; // the proxy's incarnation
  final ClientSession session;
  final EmulatedProvider provider;
  final long invocationId; // its id in the core
  long id; // its id in the proxy's table of provider connections
  boolean sent; // the proxy has forwarded the open request
  boolean concluded; // the proxy has got its answer or has abandoned it
  boolean setupQueued; // its setup is queued at the provider
  boolean established; // the provider has established it
  boolean closedByProxy; // the provider has seen the proxy close it
  long unansweredSince; // time of the first message after the last answer; 0 for none
  double load; // of its client, microseconds of work per second

  Attempt(EmulatedProxy proxy, ClientSession session, EmulatedProvider provider, long invocationId) {
    this.proxy = proxy;
    this.incarnation = proxy.incarnation();
    this.session = session;
    this.provider = provider;
    this.invocationId = invocationId;
  }
}
