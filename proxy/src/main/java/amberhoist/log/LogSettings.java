package amberhoist.log;

import org.slf4j.event.Level;

/**
 * The settings of the log, from the operator's file.
 *
 * @param format text lines or JSON lines
 * @param level the minimum level that is logged
 * @param linesPerSecond lines per second for each rate-limited event
 * @param burst lines of a rate-limited event that may come at once
 * @param queueBytes bytes queued for a slow reader of standard error; lines beyond that are dropped and counted
 */
public record LogSettings(Format format, Level level, int linesPerSecond, int burst, int queueBytes) {
  /** The format of a line. */
  public enum Format {
    /** Plain text: fields, then the message. */
    TEXT,
    /** One JSON object per line. */
    JSON
  }

  /** The default settings. */
  public static final LogSettings DEFAULT = new LogSettings(Format.TEXT, Level.INFO, 2, 20, 64 << 10);
}
