package amberhoist.net.watch;

/**
 * Timeouts and pauses of the directory watch, in microseconds; the operator's file may set them.
 *
 * <p>The directory regards a change as known after 6 s. An unanswered request, the longest pause and one second for the
 * answer to the next request must together take less than that.
 *
 * @param silenceTimeoutMicros time without a complete line after which the watch fails, or, if bytes have come
 *     meanwhile, another one is opened beside it; a line is due every 2 s
 * @param firstLineTimeoutMicros the same from request to first complete line; the directory may queue requests
 * @param initialPauseMicros before the next watch after the first failure; doubled by each further failure, plus up to
 *     100 % jitter
 * @param maxPauseMicros maximum of the doubled pause, before jitter
 */
public record WatchTiming(long silenceTimeoutMicros, long firstLineTimeoutMicros, long initialPauseMicros,
    long maxPauseMicros) {
  private static final int MAX_LINE_TIMEOUTS = 3;
  private static final int PUSHED_PAUSES_PER_DRAIN_LIMIT = 8; // with jitter, a quarter of it is spent on the pause
  private static final long MIN_PAUSE_MICROS = 10_000;

  /** The default timing. */
  public static final WatchTiming DEFAULT = new WatchTiming(3_000_000, 4_000_000, 100_000, 500_000);

  /**
   * This timing where lists are pushed: a change then counts as known as soon as the directory is back, so that the
   * pauses must be short beside the time in which requests to a draining provider must stop.
   *
   * @param drainLimitMicros that time; 0 where the directory is asked, which leaves the timing as it is
   */
  public WatchTiming forPushedLists(long drainLimitMicros) {
    if (drainLimitMicros == 0) {
      return this;
    }
    long limit = Math.max(MIN_PAUSE_MICROS, drainLimitMicros / PUSHED_PAUSES_PER_DRAIN_LIMIT);
    return new WatchTiming(silenceTimeoutMicros, firstLineTimeoutMicros, Math.min(limit, initialPauseMicros),
        Math.min(limit, maxPauseMicros));
  }

  /** Time in microseconds within which a line must be complete, however steadily its bytes come: it might never end. */
  long maxLineMicros() {
    return MAX_LINE_TIMEOUTS * firstLineTimeoutMicros;
  }
}
