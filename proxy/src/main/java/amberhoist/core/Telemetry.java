package amberhoist.core;

import amberhoist.decide.Balancer.Outcome;

/** What the core tells of its work beside the counters; it must return at once and call nothing back. */
public interface Telemetry {
  /** How an invocation was answered. */
  enum Answer {
    /** Joined to a provider. */
    UP,
    /** Rejected. */
    REJECTION,
    /** Failed. */
    FAILURE
  }

  /** Tells nobody. */
  Telemetry NONE = new Telemetry() {
    @Override
    public void called(long invocation, String provider, Outcome outcome, long micros) {}

    @Override
    public void answered(long invocation, Answer answer, long micros) {}

    @Override
    public void silent(long invocation, String provider) {}
  };

  /** An attempt ended after so long; {@code outcome} is null when the provider answered UP. */
  void called(long invocation, String provider, Outcome outcome, long micros);

  /** An invocation got its final answer, so long after it arrived. */
  void answered(long invocation, Answer answer, long micros);

  /** A provider returns nothing; this invocation, joined to it, is moved. */
  void silent(long invocation, String provider);
}
