package amberhoist.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells apart what LOAD lines on one connection say. Guards against taking one for the other: providers send
 * the load of the connection, in microseconds of work a second, whenever it changes; but where messages take
 * long, one connection of each proxy also brings the milliseconds that a message takes, under the same word.
 * These come once a second to the hundredth and move slowly, which loads do not.
 *
 * <p>The first line of such a run can be told from a load only where the load before was far larger. Otherwise the
 * second one shows it, and the load is then again what it was before. The beat is the provider's, though: it keeps time
 * from run to run, and goes on over another connection when the one that brought it ends. So once a provider's
 * {@link DelaySchedule} is known, a first line on it counts.
 */
final class LoadReadings {
  static final long PERIOD = 1_000_000;
  static final long PERIOD_SLACK = 15_000;
  private static final double PERIOD_MILLIS = 1000;
  private static final double STEP_SLACK = 5;
  private static final double MOST = 3000; // milliseconds, of a delay that is no hang: most loads are larger figures
  private static final long KNOWN_SLACK = 5_000; // for a first line: a load meets so little by chance in 1 of 100
  private static final long RUN = 3 * PERIOD; // a run that lost its connection goes on within this
  private static final double DROP = 30; // times smaller than the load before: one load line in 200, most first delays
  private static final int KEPT = 4; // lines: a load or two may come between two schedules

  /** When delays come from one provider, as far as this proxy has seen. */
  static final class DelaySchedule {
    private long at; // of the latest delay, 0 for none yet

    /**
     * Guards against a run whose connection is moved or ends: waiting for two lines on the next one left proxies blind
     * for seconds while they sent clients to a jammed provider.
     */
    private boolean carries(long now, double figure) {
      long since = now - at;
      long off = Math.abs(Math.floorMod(since + PERIOD / 2, PERIOD) - PERIOD / 2);
      return at != 0 && figure <= MOST && since > PERIOD / 2 && off <= (since <= RUN ? PERIOD_SLACK : KNOWN_SLACK);
    }
  }

  /** The schedules of all providers, by name. */
  static final class DelaySchedules {
    private static final int KEPT = 1 << 16; // one that comes after so many others is learned anew

    private final Map<String, DelaySchedule> schedules = new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, DelaySchedule> eldest) {
        return size() > KEPT;
      }
    };

    /** What a connection just joined to this provider will tell. */
    LoadReadings told(String provider) {
      return new LoadReadings(schedules.computeIfAbsent(provider, name -> new DelaySchedule()));
    }
  }

  private final DelaySchedule provider;
  private final long[] at = new long[KEPT];
  private final double[] figures = new double[KEPT];
  private final boolean[] delays = new boolean[KEPT];
  private int next;
  private double settled; // the load before the lines that are kept

  LoadReadings(DelaySchedule provider) {
    this.provider = provider;
  }

  /** Takes the figure of a line; whether it is a delay. */
  boolean delay(long now, double figure) {
    boolean first = figure <= PERIOD_MILLIS && load() >= DROP * figure && !provider.carries(now, figure);
    boolean delay = first || provider.carries(now, figure);
    for (int i = 0; i < KEPT; i++) {
      boolean beat = at[i] != 0 && Math.abs(now - at[i] - PERIOD) <= PERIOD_SLACK;
      if (beat && (delays[i] || follows(figures[i], figure))) {
        delays[i] = true; // what came one beat ago was a delay, too
        delay = true;
      }
    }
    if (delay && !first) {
      provider.at = now;
    }
    settled = at[next] != 0 && !delays[next] ? figures[next] : settled;
    at[next] = now;
    figures[next] = figure;
    delays[next] = delay;
    next = (next + 1) % KEPT;
    return delay;
  }

  /**
   * Delays move slowly from beat to beat; those over the most start when a provider hangs, and grow just as time
   * passes. A load that is told again is the same as before.
   */
  private static boolean follows(double last, double figure) {
    double step = figure - last;
    return figure <= MOST && last <= MOST && step != 0 || Math.abs(step - PERIOD_MILLIS) <= STEP_SLACK;
  }

  /** The connection's load, as far as it has been told. */
  double load() {
    for (int back = 1; back <= KEPT; back++) {
      int i = Math.floorMod(next - back, KEPT);
      if (at[i] != 0 && !delays[i]) {
        return figures[i];
      }
    }
    return settled;
  }
}
