package amberhoist.core;

/**
 * The core's own times, in microseconds. The operator's file may set them.
 *
 * @param answerMargin answers leave this long before the client gives up: its clock started before the line came
 * @param silence a client line that no line follows for this long: the provider is silent
 * @param quiet the same where several connections to one provider are affected
 * @param stopRouted into a stop: the front may still send clients here
 * @param stopHold into a stop: clients are moved from then on, see {@link Stopping}
 * @param stopLongest a longer deadline counts as this when stopping
 * @param stopAdvice what a client rejected by a stop is told to wait
 */
public record Timing(long answerMargin, long silence, long quiet, long stopRouted, long stopHold,
    long stopLongest, long stopAdvice) {
  /** What holds where nothing else is set. */
  public static final Timing DEFAULT =
      new Timing(10_000, 3_000_000, 500_000, 450_000, 1_700_000, 3_000_000, 300_000);
}
