package amberhoist.log;

import org.slf4j.event.Level;

/**
 * How the log is written. The operator's file may set it.
 *
 * @param format lines for people, or JSON lines
 * @param level what is less urgent is not told
 * @param rate lines a second for each event that clients or providers can bring about
 * @param burst so many of them at once
 * @param queue bytes that wait for a slow reader of standard error; what is over is dropped and counted
 */
public record LogSettings(Format format, Level level, int rate, int burst, int queue) {
  /** The two forms of a line. */
  public enum Format {
    /** For people: fields, then a sentence. */
    TEXT,
    /** One JSON object a line. */
    JSON
  }

  /** What holds where nothing else is set. */
  public static final LogSettings DEFAULT = new LogSettings(Format.TEXT, Level.INFO, 2, 20, 64 << 10);
}
