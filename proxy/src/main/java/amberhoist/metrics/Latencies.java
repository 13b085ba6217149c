package amberhoist.metrics;

import org.HdrHistogram.IntCountsHistogram;

/**
 * Histograms of durations in microseconds, to two significant digits. Confined to the event loop's thread. Each
 * histogram takes about 10 KB.
 */
public final class Latencies {
  /** The measured durations. Each is exported as a metric under its name in lower case. */
  public enum Span {
    /** From a client's open request to the UP of its provider. */
    SETUP("from an invocation's arrival to its UP"),
    /** From a client's open request to its rejection or failure. */
    TURNED_AWAY("from an invocation's arrival to its rejection or failure"),
    /** From the start of an attempt to its end, whatever its outcome. */
    CALL("one attempt, however it ended"),
    /** How late a tick of the event loop's timer wheel came. */
    LOOP_LAG("how late the loop's tick came");

    private final String helpText;

    Span(String helpText) {
      this.helpText = helpText;
    }

    /** The help text on the metrics page. */
    public String helpText() {
      return helpText;
    }
  }

  private static final long MAX_MICROS = 120_000_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  private final IntCountsHistogram[] histograms = new IntCountsHistogram[Span.values().length];

  /** Creates empty histograms. */
  public Latencies() {
    for (int i = 0; i < histograms.length; i++) {
      histograms[i] = new IntCountsHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    }
  }

  /** Records a duration; values outside 0 to 120 seconds are clamped. */
  public void record(Span span, long micros) {
    histograms[span.ordinal()].recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
  }

  /** Returns a copy, which another thread may use. */
  public IntCountsHistogram copy(Span span) {
    return histograms[span.ordinal()].copy();
  }
}
