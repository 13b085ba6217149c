package amberhoist.net;

/**
 * The times of the watch on the directory, in microseconds. The operator's file may set them.
 *
 * <p>All of it together stays under the 6 s after which a change counts as told: a call that is never answered, the
 * longest pause, and a second for the answer to the next one.
 *
 * @param silence without a whole line from the directory, after which the watch is given up; one comes every 2 s
 * @param firstAnswer from the call to the first whole line: calls wait in turn at the directory
 * @param pause after a failure, before the next watch; doubled with each further one, and up to as much again by chance
 * @param pauseMost up to this
 */
public record WatchTiming(long silence, long firstAnswer, long pause, long pauseMost) {
  /** What holds where nothing else is set. */
  public static final WatchTiming DEFAULT = new WatchTiming(3_000_000, 4_000_000, 100_000, 500_000);
}
