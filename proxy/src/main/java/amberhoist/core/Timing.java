package amberhoist.core;

/**
 * The core's own times, in microseconds, which the operator's file may set.
 *
 * @param answerMarginMicros time from an answer to the client's deadline: its clock started before its line came
 * @param silenceTimeoutMicros a provider is silent if no line follows a client line within this time
 * @param sharedSilenceTimeoutMicros the same where several connections to one provider are affected
 * @param stopAcceptMicros how long after the start of a stop the front may still send clients here
 * @param stopMoveDelayMicros how long after the start of a stop clients are first moved, see {@link GracefulStop}
 * @param maxStopMicros the upper bound on client deadlines that a stop takes into account
 * @param stopRetryAfterMicros the retry-after of clients that a stop rejects
 */
public record Timing(long answerMarginMicros, long silenceTimeoutMicros, long sharedSilenceTimeoutMicros,
    long stopAcceptMicros, long stopMoveDelayMicros, long maxStopMicros, long stopRetryAfterMicros) {
  /** The times that apply unless the operator's file sets others. */
  public static final Timing DEFAULT =
      new Timing(10_000, 3_000_000, 500_000, 450_000, 1_700_000, 3_000_000, 300_000);
}
