package amberhoist.core;

/**
 * What the core wants done on the outside. Connections are known to it by number only; a command on one that
 * is already gone does nothing. A command may bring about events at once: the core takes them up after the
 * event that it is handling.
 */
public interface Commands {
  /**
   * Starts an attempt: connects to a provider.
   *
   * @return the number of the new provider connection, or {@link SlotTable#NONE} if none could be started
   */
  long dial(long invocation, long client, String provider);

  /** Forwards the client's first line on a connection that stands; the proxy will wait so long for more. */
  void forward(long provider, long millis);

  /** Closes a provider connection, which ends the attempt on it. */
  void abandon(long provider);

  /** Joins client and provider, which has answered UP: from now on lines pass both ways. */
  void join(long client, long provider);

  /** Answers a client with a rejection and closes; {@code retryAfter} micros, 0 for no advice. */
  void reject(long client, long retryAfter);

  /** Answers a client that its invocation has failed and closes. */
  void fail(long client);

  /** Tells a client between two lines to move and closes it. */
  void move(long client);

  /** Makes sure that the directory is watched. */
  void watch();

  /** Asks a provider for its load report; {@link Core#report} takes it, should one come. */
  void ask(String provider);

  /** A line for the operator's log. */
  void log(String message);
}
