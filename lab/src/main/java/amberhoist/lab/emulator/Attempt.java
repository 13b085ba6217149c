package amberhoist.lab.emulator;

/** An attempt: one connection of a proxy to a provider, from the connect to its end. */
final class Attempt {
  final EmulatedProxy proxy;
  final int life; // the proxy's incarnation
  final Visit visit;
  final EmulatedProvider provider;
  final long invocation; // its id in the core
  long number; // its id in the proxy's table of provider connections
  boolean sent; // the proxy has forwarded the open request
  boolean concluded; // the proxy has got its answer or has abandoned it
  boolean waiting; // its setup is queued at the provider
  boolean up; // the provider has established it
  boolean left; // the provider has seen the proxy close it
  long unansweredSince; // time of the first message after the last answer; 0 for none
  double load; // of its client, microseconds of work per second

  Attempt(EmulatedProxy proxy, Visit visit, EmulatedProvider provider, long invocation) {
    this.proxy = proxy;
    this.life = proxy.life();
    this.visit = visit;
    this.provider = provider;
    this.invocation = invocation;
  }
}
