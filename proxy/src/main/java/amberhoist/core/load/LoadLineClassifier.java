package amberhoist.core.load;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells apart the two values that LOAD lines carry. Providers send a connection's load, in microseconds of work a
 * second, whenever it changes. Where messages take long, one connection of each proxy also brings their queueing delay
 * in milliseconds, once a second to the hundredth; delays change slowly, loads do not.
 *
 * <p>The first line of a run of delays can be told from a load only if the load before was far larger. Otherwise the
 * second reveals the run, and the load is reset to what it was before. A provider keeps its period from run to run and
 * across connections, so once its {@link DelaySchedule} is known, a first line on schedule counts as a delay.
 */
public final class LoadLineClassifier {
  static final long PERIOD_MICROS = 1_000_000;
  static final long PERIOD_TOLERANCE_MICROS = 15_000;
  private static final double PERIOD_MILLIS = 1000;
  private static final double HANG_STEP_TOLERANCE_MILLIS = 5;
  private static final double MAX_DELAY_MILLIS = 3000; // without a hang; most loads are larger numbers
  private static final long FIRST_LINE_TOLERANCE_MICROS = 5_000; // 1 in 100 loads arrives this close by chance
  private static final long RESUME_TIMEOUT_MICROS = 3 * PERIOD_MICROS; // for a run to go on over another connection
  private static final double MIN_DROP_RATIO = 30; // from load to value: in 1 load line of 200, but most first delays
  private static final int KEPT_LINES = 4; // a load or two may come between two delays

  /** When one provider sends its delays, as far as this proxy has seen. */
  static final class DelaySchedule {
    private long lastDelayAt; // microseconds, 0 for none yet

    /**
     * Whether a line is on schedule, on any connection. When the connection of a run has moved or ended, waiting for
     * two lines on the next one would yield no delays for seconds, and clients would go to an overloaded provider.
     */
    private boolean matches(long now, double value) {
      long elapsed = now - lastDelayAt;
      long offset = Math.abs(Math.floorMod(elapsed + PERIOD_MICROS / 2, PERIOD_MICROS) - PERIOD_MICROS / 2);
      return lastDelayAt != 0 && value <= MAX_DELAY_MILLIS && elapsed > PERIOD_MICROS / 2
          && offset <= (elapsed <= RESUME_TIMEOUT_MICROS ? PERIOD_TOLERANCE_MICROS : FIRST_LINE_TOLERANCE_MICROS);
    }
  }

  /** The schedules of all providers, by name. */
  public static final class DelaySchedules {
    private static final int MAX_PROVIDERS = 1 << 16; // the oldest is dropped, and learned anew when it returns

    private final Map<String, DelaySchedule> schedules = new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, DelaySchedule> eldest) {
        return size() > MAX_PROVIDERS;
      }
    };

    /** Creates a classifier for a new connection to this provider. */
    public LoadLineClassifier newClassifier(String provider) {
      return new LoadLineClassifier(schedules.computeIfAbsent(provider, name -> new DelaySchedule()));
    }
  }

  private final DelaySchedule schedule;
  private final long[] arrivedAt = new long[KEPT_LINES];
  private final double[] values = new double[KEPT_LINES];
  private final boolean[] delays = new boolean[KEPT_LINES];
  private int next;
  private double settledLoad; // the load before the lines that are kept

  LoadLineClassifier(DelaySchedule schedule) {
    this.schedule = schedule;
  }

  /** Records the value of a LOAD line; returns true if it is a delay in milliseconds, false if it is a load. */
  public boolean recordAndTestDelay(long now, double value) {
    boolean isDrop = value <= PERIOD_MILLIS && load() >= MIN_DROP_RATIO * value && !schedule.matches(now, value);
    boolean isDelay = isDrop || schedule.matches(now, value);
    for (int i = 0; i < KEPT_LINES; i++) {
      boolean onPeriod = arrivedAt[i] != 0 && Math.abs(now - arrivedAt[i] - PERIOD_MICROS) <= PERIOD_TOLERANCE_MICROS;
      if (onPeriod && (delays[i] || isSuccessor(values[i], value))) {
        delays[i] = true; // the line one period ago was a delay, too
        isDelay = true;
      }
    }
    if (isDelay && !isDrop) {
      schedule.lastDelayAt = now;
    }
    settledLoad = arrivedAt[next] != 0 && !delays[next] ? values[next] : settledLoad;
    arrivedAt[next] = now;
    values[next] = value;
    delays[next] = isDelay;
    next = (next + 1) % KEPT_LINES;
    return isDelay;
  }

  /**
   * Whether a value can be the delay one period after another. Delays change slowly; those over the maximum begin when
   * a provider hangs, and grow as fast as time passes. An unchanged value is a load that was sent again.
   */
  private static boolean isSuccessor(double previous, double value) {
    double step = value - previous;
    return value <= MAX_DELAY_MILLIS && previous <= MAX_DELAY_MILLIS && step != 0
        || Math.abs(step - PERIOD_MILLIS) <= HANG_STEP_TOLERANCE_MILLIS;
  }

  /** The latest known load of the connection in microseconds of work per second, 0 before any. */
  public double load() {
    for (int back = 1; back <= KEPT_LINES; back++) {
      int i = Math.floorMod(next - back, KEPT_LINES);
      if (arrivedAt[i] != 0 && !delays[i]) {
        return values[i];
      }
    }
    return settledLoad;
  }
}
