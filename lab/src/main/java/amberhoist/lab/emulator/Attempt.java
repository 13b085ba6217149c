package amberhoist.lab.emulator;

/** One connection of a proxy to a provider: an attempt, and what becomes of it. */
final class Attempt {
  final EmulatedProxy proxy;
  final int life;
  final Visit visit;
  final EmulatedProvider provider;
  final long invocation;
  long number;
  boolean sent;
  boolean concluded; // the proxy has heard its end, or has given it up
  boolean waiting; // at the provider, for its set-up
  boolean up; // at the provider
  boolean left; // the proxy has closed it
  long unansweredSince; // the first message since which no answer has come, 0 for none
  double load; // of its client now, micros of work a second

  Attempt(EmulatedProxy proxy, Visit visit, EmulatedProvider provider, long invocation) {
    this.proxy = proxy;
    this.life = proxy.life();
    this.visit = visit;
    this.provider = provider;
    this.invocation = invocation;
  }
}
