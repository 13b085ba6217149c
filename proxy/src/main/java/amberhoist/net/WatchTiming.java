package amberhoist.net;

/**
 * The times of the watch on the directory, in microseconds. The operator's file may set them.
 *
 * @param silence without a word from the directory, after which the watch is given up; a line comes every 2 s
 * @param firstAnswer the same before the first word: calls wait in turn at the directory
 * @param pause after a failure, before the next watch; doubled with each further failure, and jittered
 * @param pauseMost up to this
 */
public record WatchTiming(long silence, long firstAnswer, long pause, long pauseMost) {
  /** What holds where nothing else is set. */
  public static final WatchTiming DEFAULT = new WatchTiming(3_000_000, 4_000_000, 100_000, 1_000_000);
}
