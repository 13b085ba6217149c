package amberhoist.log;

import java.util.Locale;
import org.slf4j.event.Level;

/**
 * The events of the log. Their ids are stable, so that scripts can match them. {@code docs/logging.md} is generated
 * from this class; a test fails when it is out of date.
 */
public enum Event {
  PROXY_SERVES(Level.INFO, false, "the proxy listens and is ready", "address"),
  PROXY_STOPS(Level.INFO, false, "shutdown has started: the proxy keeps serving at first, then moves its clients"),
  PROXY_STOPPED(Level.INFO, false, "everything is closed; the message holds the counters", "counters"),
  CONFIG_RELOADED(Level.INFO, false, "the configuration was reloaded and has taken effect", "directory"),
  CONFIG_REFUSED(Level.WARN, false, "a new configuration is invalid; the old one stays in effect", "why"),
  CONFIG_RESTART_NEEDED(Level.WARN, false, "changed keys take effect only after a restart", "keys"),
  CONFIG_RELOAD_IGNORED(Level.WARN, false, "the process was started with SIGHUP ignored; that signal reloads nothing"),
  LIMITS_EXCEEDED(Level.WARN, false, "a reloaded limit on descriptors is less than what connections hold; they go on,"
      + " and new clients are rejected until enough have ended", "limit", "held"),
  LIMITS_RAISED(Level.WARN, false, "the limit on descriptors is less than the proxy itself needs; the least that it can"
      + " serve with applies", "limit", "least"),
  DIRECTORY_FAILED(Level.WARN, true, "the directory watch failed, was disconnected or timed out", "why", "pause_ms"),
  DIRECTORY_UNREAD(Level.WARN, true, "directory entries were invalid; those providers stay unchanged", "providers"),
  DIRECTORY_ANSWERED(Level.INFO, true, "the directory sent the first update of a watch", "address", "index",
      "after_ms"),
  DIRECTORY_LATE(Level.WARN, false, "where lists are pushed, the directory has not answered at the start; the proxy"
      + " serves by the list of its configuration", "waited_ms"),
  DIRECTORY_SLOW(Level.WARN, true, "a line of the directory is still being written after the time limit; another watch"
      + " starts beside it", "address", "after_ms"),
  DIRECTORY_MOVED(Level.INFO, false, "the directory watch has moved to another address", "address"),
  CLIENT_MALFORMED(Level.INFO, true, "a client sent an invalid request and got ERR", "peer"),
  CLIENT_EVICTED(Level.INFO, true, "an idle or answered connection was closed to free its descriptor", "peer"),
  CLIENT_CROWDED_OUT(Level.WARN, true, "a client was rejected: no descriptors were left", "peer"),
  CLIENT_LEFT(Level.DEBUG, true, "a client ended its connection before it got an answer", "invocation", "how", "why"),
  PROVIDER_UNDIALLED(Level.WARN, true, "no socket could be opened to connect to a provider", "provider", "why"),
  PROVIDER_SILENT(Level.WARN, true, "a provider is silent; one of its clients is moved", "invocation", "provider"),
  PROVIDER_SUSPENDED(Level.INFO, false, "an operator suspended a provider; it gets no new requests", "provider"),
  PROVIDER_RESUMED(Level.INFO, false, "an operator resumed a provider", "provider"),
  CALL_STARTED(Level.DEBUG, true, "an attempt started; the first of an invocation has number 1", "invocation",
      "provider", "attempt"),
  CALL_ENDED(Level.DEBUG, true, "an attempt ended", "invocation", "provider", "outcome", "micros"),
  INVOCATION_ARRIVED(Level.DEBUG, true, "a client requests a connection; the id is that of its open request",
      "invocation", "request", "class", "peer"),
  INVOCATION_ANSWERED(Level.DEBUG, true, "an invocation got its final answer", "invocation", "outcome", "micros"),
  HANDOVER_FAILED(Level.INFO, true, "a connection that existed before this process started was given up before its"
      + " deadline", "invocation", "provider", "why"),
  RELAY_ENDED(Level.DEBUG, true, "both connections of a relay are closed and all bytes read were written",
      "invocation", "end", "why"),
  RELAY_CUT(Level.INFO, true, "both connections of a relay are closed; a side did not get all bytes that were read"
      + " for it", "invocation", "end", "why", "undelivered_to_client", "undelivered_to_provider"),
  MODULE_SAID(Level.INFO, true, "a message of the decision module"),
  DOOR_LISTENS(Level.INFO, false, "the management API listens", "address"),
  DOOR_FAILED(Level.WARN, true, "the management API could not accept a connection", "why"),
  UPGRADE_SUSPENSIONS(Level.INFO, false, "suspensions in the upgrade record have taken effect in this process",
      "providers"),
  UPGRADE_LIST(Level.INFO, true, "until the directory answers, this process serves by the list of the process before"
      + " it", "providers"),
  UPGRADE_FAILED(Level.WARN, true, "the upgrade record in $TMPDIR cannot be read or stored", "why"),
  ADMIN_LISTENS(Level.INFO, false, "the admin socket listens", "address"),
  ADMIN_FAILED(Level.WARN, true, "a request to the admin socket could not be answered", "why"),
  LOOP_FAULT(Level.ERROR, true, "a task on the event loop failed; the loop continues", "why"),
  LOG_SUPPRESSED(Level.WARN, false, "lines of one event were suppressed by its rate limit", "of", "lines"),
  LOG_DROPPED(Level.WARN, false, "lines were dropped because standard error was read too slowly", "lines");

  private final Level level;
  private final boolean rateLimited;
  private final String meaning;
  private final String[] fields;

  Event(Level level, boolean rateLimited, String meaning, String... fields) {
    this.level = level;
    this.rateLimited = rateLimited;
    this.meaning = meaning;
    this.fields = fields;
  }

  /** The id of the event in the log, such as {@code directory.failed}. */
  public String id() {
    String name = name().toLowerCase(Locale.ROOT);
    int area = name.indexOf('_');
    return name.substring(0, area) + '.' + name.substring(area + 1);
  }

  /** The name of the logger. */
  public String logger() {
    String name = name().toLowerCase(Locale.ROOT);
    return "amberhoist." + name.substring(0, name.indexOf('_'));
  }

  /** The log level. */
  public Level level() {
    return level;
  }

  /** Whether its lines are rate-limited, because clients or providers can cause it at will. */
  public boolean isRateLimited() {
    return rateLimited;
  }

  /** The meaning, for the reference page. */
  public String meaning() {
    return meaning;
  }

  /** The names of its fields besides event and instance. */
  public String[] fields() {
    return fields.clone();
  }
}
