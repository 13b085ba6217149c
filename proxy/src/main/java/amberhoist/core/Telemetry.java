package amberhoist.core;

import amberhoist.decide.Balancer.Outcome;

/** Receives individual events of the core, beside the counters. An implementation must not block or call the core. */
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
    public void onAttemptStarted(long invocationId, String provider, int attempt) {}

    @Override
    public void onAttemptEnded(long invocationId, String provider, Outcome outcome, long micros) {}

    @Override
    public void onAnswered(long invocationId, Answer answer, long micros) {}

    @Override
    public void onSilentProvider(long invocationId, String provider) {}

    @Override
    public void onHandoverFailed(long invocationId, String provider, String reason) {}
  };

  /** An attempt starts; the first of an invocation has number 1. */
  void onAttemptStarted(long invocationId, String provider, int attempt);

  /** An attempt ended after {@code micros}; {@code outcome} is null if the provider answered UP. */
  void onAttemptEnded(long invocationId, String provider, Outcome outcome, long micros);

  /** An invocation got its final answer {@code micros} after it arrived. */
  void onAnswered(long invocationId, Answer answer, long micros);

  /** A provider is silent; this invocation, established with it, is moved. */
  void onSilentProvider(long invocationId, String provider);

  /** A connection that existed before this process started is given up before its deadline. */
  void onHandoverFailed(long invocationId, String provider, String reason);
}
