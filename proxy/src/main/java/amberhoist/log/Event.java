package amberhoist.log;

import java.util.Locale;
import org.slf4j.event.Level;

/**
 * The things that are told in the log, each under a name that stays. {@code docs/logging.md} lists them; a test
 * fails when it is stale.
 */
public enum Event {
  PROXY_SERVES(Level.INFO, false, "the proxy listens and is ready", "address"),
  PROXY_STOPS(Level.INFO, false, "told to end: it serves on, then moves its clients"),
  PROXY_STOPPED(Level.INFO, false, "all is closed; its counters", "counters"),
  CONFIG_RELOADED(Level.INFO, false, "the configuration was read again and holds", "directory"),
  CONFIG_REFUSED(Level.WARN, false, "a new configuration cannot be used; the old one stays", "why"),
  CONFIG_RESTART_NEEDED(Level.WARN, false, "keys changed that only a restart takes up; they stay", "keys"),
  DIRECTORY_FAILED(Level.WARN, true, "a watch on the directory failed, broke or fell silent", "why", "pause_ms"),
  DIRECTORY_UNREAD(Level.WARN, true, "entries could not be read; those providers stay as they were", "providers"),
  DIRECTORY_MOVED(Level.INFO, false, "the directory is watched at another address", "address"),
  CLIENT_MALFORMED(Level.INFO, true, "a client sent what cannot be read or meant, and got ERR", "peer"),
  CLIENT_EVICTED(Level.INFO, true, "a connection that nothing is owed had to make room", "peer"),
  CLIENT_CROWDED_OUT(Level.WARN, true, "a client was rejected for want of descriptors", "peer"),
  PROVIDER_UNDIALLED(Level.WARN, true, "no socket could be had to call a provider", "provider", "why"),
  PROVIDER_SILENT(Level.WARN, true, "a provider returns nothing; a client of it is moved", "invocation", "provider"),
  PROVIDER_SUSPENDED(Level.INFO, false, "an operator took a provider out; it gets nothing new", "provider"),
  PROVIDER_RESUMED(Level.INFO, false, "an operator called a provider back", "provider"),
  CALL_ENDED(Level.DEBUG, true, "an attempt ended", "invocation", "provider", "outcome", "micros"),
  INVOCATION_ANSWERED(Level.DEBUG, true, "an invocation got its final answer", "invocation", "outcome", "micros"),
  MODULE_SAID(Level.INFO, true, "the decision module has something to say"),
  DOOR_LISTENS(Level.INFO, false, "operators are answered there", "address"),
  DOOR_FAILED(Level.WARN, true, "a caller of the operators' door could not be taken in", "why"),
  UPGRADE_FAILED(Level.WARN, true, "what the processes of an upgrade share in $TMPDIR cannot be read or kept", "why"),
  ADMIN_LISTENS(Level.INFO, false, "the admin socket answers", "address"),
  ADMIN_FAILED(Level.WARN, true, "a question on the admin socket could not be answered", "why"),
  LOOP_FAULT(Level.ERROR, true, "a task on the loop failed; the loop goes on", "why"),
  LOG_SUPPRESSED(Level.WARN, false, "lines of one event left out, over its rate", "of", "lines"),
  LOG_DROPPED(Level.WARN, false, "lines left out because nobody reads standard error fast enough", "lines");

  private final Level level;
  private final boolean limited;
  private final String meaning;
  private final String[] fields;

  Event(Level level, boolean limited, String meaning, String... fields) {
    this.level = level;
    this.limited = limited;
    this.meaning = meaning;
    this.fields = fields;
  }

  /** Its name in the log, such as {@code directory.failed}. */
  public String id() {
    String name = name().toLowerCase(Locale.ROOT);
    int area = name.indexOf('_');
    return name.substring(0, area) + '.' + name.substring(area + 1);
  }

  /** The logger that tells it. */
  public String logger() {
    String name = name().toLowerCase(Locale.ROOT);
    return "amberhoist." + name.substring(0, name.indexOf('_'));
  }

  /** How urgent it is. */
  public Level level() {
    return level;
  }

  /** Whether a client or a provider can bring it about at will, so that its lines are limited. */
  public boolean limited() {
    return limited;
  }

  /** What it tells, for the reference page. */
  public String meaning() {
    return meaning;
  }

  /** The names of its fields, beside event and instance. */
  public String[] fields() {
    return fields.clone();
  }
}
