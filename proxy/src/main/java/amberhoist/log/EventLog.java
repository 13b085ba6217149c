package amberhoist.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs events through SLF4J, with their ids and fields, and limits the rate of each kind of event that clients or
 * providers can cause. Thread-safe. Once {@link #redirectStandardError} has been called, it never blocks on a
 * slow reader.
 */
public final class EventLog {
  private static final int MAX_TEXT_CHARS = 2000; // of a field or message, which may come from a client
  private static BoundedOutputStream output;
  private static boolean json;

  private final Map<Event, RateLimiter> rateLimiters = new EnumMap<>(Event.class);
  private final LongSupplier nanos;
  private final String instance;
  private LogSettings settings;
  private long suppressedLines;

  /** Creates a log for an instance; {@code nanos} is the clock in nanoseconds that the rate limits use. */
  public EventLog(String instance, LogSettings settings, LongSupplier nanos) {
    this.instance = instance;
    this.settings = settings;
    this.nanos = nanos;
  }

  /** Creates a log for an instance that uses the system's clock. */
  public EventLog(String instance, LogSettings settings) {
    this(instance, settings, System::nanoTime);
  }

  /**
   * Selects the SLF4J backend of this process, before anything is logged: {@code slf4j-simple} for text, which fits the
   * smallest installation, Logback for JSON. Later calls have no effect on the backend.
   */
  public static synchronized void selectBackend(LogSettings.Format format) {
    json = format == LogSettings.Format.JSON;
    System.setProperty("slf4j.internal.verbosity", "WARN");
    System.setProperty("slf4j.provider", json ? "ch.qos.logback.classic.spi.LogbackServiceProvider"
        : "org.slf4j.simple.SimpleServiceProvider");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "trace"); // this class filters by level
    LoggerFactory.getILoggerFactory(); // initialize before several threads do
  }

  /**
   * Redirects standard error of this process to a bounded queue that a separate thread writes.
   *
   * @param dropLog where dropped lines are reported
   */
  public static synchronized void redirectStandardError(int maxQueuedBytes, EventLog dropLog) {
    output = new BoundedOutputStream(new FileOutputStream(FileDescriptor.err), maxQueuedBytes,
        lines -> dropLog.log(Event.LOG_DROPPED, "lines were dropped, standard error is read too slowly",
            "lines", lines));
    System.setErr(new PrintStream(output, false, StandardCharsets.UTF_8));
  }

  /** The number of lines dropped because standard error was read too slowly. */
  public static synchronized long droppedLines() {
    return output == null ? 0 : output.droppedWrites();
  }

  /** Waits up to 200 ms until queued lines are written; meant for the end of the process. */
  public static void flush() {
    BoundedOutputStream out;
    synchronized (EventLog.class) {
      out = output;
    }
    if (out != null) {
      out.awaitWritten(200);
    }
  }

  /** Applies new settings, except for the format. */
  public synchronized void configure(LogSettings newSettings) {
    settings = newSettings;
    synchronized (EventLog.class) {
      if (output != null) {
        output.setMaxQueuedBytes(newSettings.queueBytes());
      }
    }
  }

  /** Logs an event with a message; {@code fields} holds names and values alternately. */
  public void log(Event event, String message, Object... fields) {
    long suppressedBefore = admit(event);
    if (suppressedBefore >= 0) {
      LoggingEventBuilder line = startLine(event, fields);
      if (suppressedBefore > 0) {
        line = line.addKeyValue("suppressed", suppressedBefore);
      }
      line.log(sanitize(message));
    }
  }

  /** Logs an exception with its stack trace. */
  public void logException(Event event, String message, Throwable fault) {
    if (admit(event) >= 0) {
      startLine(event, "why", fault.toString()).setCause(fault).log(sanitize(message));
    }
  }

  /** The number of lines of this event suppressed since the last one logged, or -1 if the event is not to be logged. */
  private synchronized long admit(Event event) {
    if (event.level().toInt() < settings.level().toInt()) {
      return -1;
    }
    if (!event.isRateLimited()) {
      return 0;
    }
    RateLimiter limiter = rateLimiters.computeIfAbsent(event, key -> new RateLimiter());
    if (!limiter.tryAcquire(nanos.getAsLong(), settings.linesPerSecond(), settings.burst())) {
      suppressedLines++;
      return -1;
    }
    return limiter.takeSuppressed();
  }

  /** The number of lines suppressed by rate limits so far. */
  public synchronized long suppressedLines() {
    return suppressedLines;
  }

  /** Logs the suppressed lines that have not been reported yet; to be called periodically. */
  public void logSuppressed() {
    for (Event event : Event.values()) {
      long count;
      synchronized (this) {
        RateLimiter limiter = rateLimiters.get(event);
        count = limiter == null ? 0 : limiter.takeSuppressed();
      }
      if (count > 0) {
        log(Event.LOG_SUPPRESSED, "lines were suppressed", "of", event.id(), "lines", count);
      }
    }
  }

  private LoggingEventBuilder startLine(Event event, Object... fields) {
    Logger logger = LoggerFactory.getLogger(event.logger());
    LoggingEventBuilder line = logger.makeLoggingEventBuilder(event.level());
    if (!json) {
      line = line.addKeyValue("time", Instant.now()); // the text backend's own time costs 3.6 MB of resident memory
    }
    line = line.addKeyValue("event", event.id()).addKeyValue("instance", instance);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      Object value = fields[i + 1];
      line = line.addKeyValue((String) fields[i], value instanceof Number ? value : sanitize(String.valueOf(value)));
    }
    return line;
  }

  /** Cuts long text and replaces control characters: clients can put anything into it. */
  private static String sanitize(String text) {
    String cut = text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS) + "...";
    StringBuilder sanitized = null;
    for (int i = 0; i < cut.length(); i++) {
      if (Character.isISOControl(cut.charAt(i))) {
        sanitized = sanitized == null ? new StringBuilder(cut) : sanitized;
        sanitized.setCharAt(i, ' ');
      }
    }
    return sanitized == null ? cut : sanitized.toString();
  }
}
