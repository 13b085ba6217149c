package amberhoist.metrics;

import org.HdrHistogram.IntCountsHistogram;

/**
 * How long things took, in microseconds, to two significant digits. Owned by the loop's thread. Each histogram
 * takes about 10 KB.
 */
public final class Latencies {
  /** The things that are timed. */
  public enum Span {
    /** From a client's first line to its join with a provider. */
    SETUP("from an invocation's arrival to its UP"),
    /** From a client's first line to a rejection or failure. */
    TURNED_AWAY("from an invocation's arrival to its rejection or failure"),
    /** One attempt, however it ended. */
    CALL("one attempt, however it ended"),
    /** How late the wheel's tick came. */
    LOOP_LAG("how late the loop's tick came");

    private final String meaning;

    Span(String meaning) {
      this.meaning = meaning;
    }

    /** What it times, for the metrics page. */
    public String meaning() {
      return meaning;
    }
  }

  private static final long LONGEST = 120_000_000;
  private static final int DIGITS = 2;

  private final IntCountsHistogram[] spans = new IntCountsHistogram[Span.values().length];

  /** Empty histograms. */
  public Latencies() {
    for (int i = 0; i < spans.length; i++) {
      spans[i] = new IntCountsHistogram(LONGEST, DIGITS);
    }
  }

  /** Counts one that took so many microseconds. */
  public void record(Span span, long micros) {
    spans[span.ordinal()].recordValue(Math.max(0, Math.min(LONGEST, micros)));
  }

  /** A copy for another thread. */
  public IntCountsHistogram copy(Span span) {
    return spans[span.ordinal()].copy();
  }
}
