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
 * Tells events through SLF4J: under their names, with fields, each kind no faster than its rate. It never blocks on
 * a slow reader once {@link #redirect} has been called. It may be used from any thread.
 */
public final class EventLog {
  private static final int TEXT_MOST = 2000; // characters of one field or sentence: a client may have sent it
  private static BoundedOutput output;
  private static boolean json;

  private final Map<Event, RateLimit> limits = new EnumMap<>(Event.class);
  private final LongSupplier nanos;
  private final String instance;
  private LogSettings settings;
  private long suppressed;

  /** A log for the instance of this name; {@code nanos} is a clock of nanoseconds, for the rates alone. */
  public EventLog(String instance, LogSettings settings, LongSupplier nanos) {
    this.instance = instance;
    this.settings = settings;
    this.nanos = nanos;
  }

  /** A log of the process, with nothing held back for its rate but what these settings say. */
  public EventLog(String instance, LogSettings settings) {
    this(instance, settings, System::nanoTime);
  }

  /**
   * Chooses the backend for this process, before anything is told: {@code slf4j-simple} for text, which is the
   * one that fits the smallest installation, Logback for JSON. A later choice changes nothing.
   */
  public static synchronized void choose(LogSettings.Format format) {
    json = format == LogSettings.Format.JSON;
    System.setProperty("slf4j.internal.verbosity", "WARN");
    System.setProperty("slf4j.provider", json ? "ch.qos.logback.classic.spi.LogbackServiceProvider"
        : "org.slf4j.simple.SimpleServiceProvider");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "trace"); // decided here instead
    LoggerFactory.getILoggerFactory(); // before threads race for it
  }

  /** Has standard error written by a thread of its own from now on, with a bounded queue; for a process. */
  public static synchronized void redirect(int queue, EventLog teller) {
    output = new BoundedOutput(new FileOutputStream(FileDescriptor.err), queue,
        lines -> teller.tell(Event.LOG_DROPPED, "nobody reads standard error fast enough", "lines", lines));
    System.setErr(new PrintStream(output, false, StandardCharsets.UTF_8));
  }

  /** How many lines were dropped because nobody read them fast enough. */
  public static synchronized long dropped() {
    return output == null ? 0 : output.dropped();
  }

  /** Waits a moment for what is still to be written; for the end of the process. */
  public static void flush() {
    BoundedOutput out;
    synchronized (EventLog.class) {
      out = output;
    }
    if (out != null) {
      out.await(200);
    }
  }

  /** Goes by other settings from now on; the format stays. */
  public synchronized void configure(LogSettings others) {
    settings = others;
    synchronized (EventLog.class) {
      if (output != null) {
        output.limit(others.queue());
      }
    }
  }

  /** Tells an event in a sentence, with fields given as names and values in turn. */
  public void tell(Event event, String sentence, Object... fields) {
    long left = admitted(event);
    if (left >= 0) {
      LoggingEventBuilder line = line(event, fields);
      if (left > 0) {
        line = line.addKeyValue("suppressed", left);
      }
      line.log(bounded(sentence));
    }
  }

  /** Tells of a fault, with its stack. */
  public void fault(Event event, String sentence, Throwable fault) {
    if (admitted(event) >= 0) {
      line(event, "why", fault.toString()).setCause(fault).log(bounded(sentence));
    }
  }

  /** How many lines of this event were left out since the last one told, or -1 when it is not to be told. */
  private synchronized long admitted(Event event) {
    if (event.level().toInt() < settings.level().toInt()) {
      return -1;
    }
    if (!event.limited()) {
      return 0;
    }
    RateLimit limit = limits.computeIfAbsent(event, any -> new RateLimit());
    if (!limit.pass(nanos.getAsLong(), settings.rate(), settings.burst())) {
      suppressed++;
      return -1;
    }
    return limit.takeSuppressed();
  }

  /** How many lines were left out so far because their events came too fast. */
  public synchronized long suppressed() {
    return suppressed;
  }

  /** Tells what was left out and has not been told yet; to be called now and then. */
  public void tellSuppressed() {
    for (Event event : Event.values()) {
      long count;
      synchronized (this) {
        RateLimit limit = limits.get(event);
        count = limit == null ? 0 : limit.takeSuppressed();
      }
      if (count > 0) {
        tell(Event.LOG_SUPPRESSED, "lines were left out", "of", event.id(), "lines", count);
      }
    }
  }

  private LoggingEventBuilder line(Event event, Object... fields) {
    Logger logger = LoggerFactory.getLogger(event.logger());
    LoggingEventBuilder line = logger.makeLoggingEventBuilder(event.level());
    if (!json) {
      line = line.addKeyValue("time", Instant.now()); // the text backend's own costs 3.6 MB of resident memory
    }
    line = line.addKeyValue("event", event.id()).addKeyValue("instance", instance);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      Object value = fields[i + 1];
      line = line.addKeyValue((String) fields[i], value instanceof Number ? value : bounded(String.valueOf(value)));
    }
    return line;
  }

  /** One line of bounded length, whatever a client may have put into it. */
  private static String bounded(String text) {
    String cut = text.length() <= TEXT_MOST ? text : text.substring(0, TEXT_MOST) + "...";
    StringBuilder plain = null;
    for (int i = 0; i < cut.length(); i++) {
      if (Character.isISOControl(cut.charAt(i))) {
        plain = plain == null ? new StringBuilder(cut) : plain;
        plain.setCharAt(i, ' ');
      }
    }
    return plain == null ? cut : plain.toString();
  }
}
