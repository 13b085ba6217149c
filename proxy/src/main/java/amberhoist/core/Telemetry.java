package amberhoist.core;

import amberhoist.decide.Balancer.Outcome;

/** Receives single events of the core, beside the counters. An implementation must not block or call the core. */
public interface Telemetry {
  /** The kind of the final answer to an invocation. */
  enum Answer {
    UP,
    REJECTION,
    FAILURE
  }

  /** Discards all events. */
  Telemetry NONE = new Telemetry() {
    @Override
    public void called(long invocationId, String provider, Outcome outcome, long micros) {}

    @Override
    public void answered(long invocationId, Answer answer, long micros) {}

    @Override
    public void silent(long invocationId, String provider) {}
  };

  /** An attempt ended after {@code micros}; {@code outcome} is null if the provider answered UP. */
  void called(long invocationId, String provider, Outcome outcome, long micros);

  /** An invocation got its final answer {@code micros} after it arrived. */
  void answered(long invocationId, Answer answer, long micros);

  /** A provider is silent; this invocation, established with it, is moved. */
  void silent(long invocationId, String provider);
}
