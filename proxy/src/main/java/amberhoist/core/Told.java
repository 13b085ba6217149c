package amberhoist.core;

/**
 * Tells apart what LOAD lines on one connection say. Guards against taking one for the other: providers send
 * the load of the connection, in microseconds of work a second, whenever it changes; but where messages take
 * long, one connection of each proxy also brings the milliseconds that a message takes, under the same word.
 * These come once a second to the hundredth and move slowly, which loads do not.
 *
 * <p>The first line of such a run cannot be told from a load. The second one shows it, and the load is then
 * again what it was before.
 */
final class Told {
  static final long BEAT = 1_000_000;
  static final long BEAT_SLACK = 15_000;
  private static final double BEAT_MILLIS = 1000;
  private static final double STEP_SLACK = 5;

  private long at;
  private double last;
  private boolean beating;
  private double load;
  private double loadBefore;

  /** Takes the figure of a line; whether it is a delay. */
  boolean delay(long now, double figure) {
    boolean beat = at != 0 && Math.abs(now - at - BEAT) <= BEAT_SLACK;
    boolean delay = beat && (beating || follows(figure));
    if (delay && !beating) {
      load = loadBefore; // what came one beat ago was a delay, too
    } else if (!delay) {
      loadBefore = load;
      load = figure;
    }
    beating = delay;
    at = now;
    last = figure;
    return delay;
  }

  /**
   * Delays of up to a second move by less than that from beat to beat; longer ones start when a provider
   * hangs, and grow just as time passes. A load that is told again is the same as before.
   */
  private boolean follows(double figure) {
    double step = figure - last;
    return figure <= BEAT_MILLIS && last <= 2 * BEAT_MILLIS && step != 0
        || Math.abs(step - BEAT_MILLIS) <= STEP_SLACK;
  }

  /** The connection's load, as far as it has been told. */
  double load() {
    return load;
  }
}
