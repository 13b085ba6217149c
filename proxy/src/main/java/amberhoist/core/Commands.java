package amberhoist.core;

/**
 * The I/O that the core requests. It refers to connections by their ids only; a command for a connection that no longer
 * exists does nothing. Events that a command causes at once are handled after the core's current event.
 */
public interface Commands {
  /** Starts an attempt: connects to a provider. Returns the connection's id, {@link SlotTable#NONE} if none started. */
  long connect(long invocationId, long clientId, String provider);

  /** Whether an address of this provider is known, from the directory or from the configuration. */
  boolean hasAddress(String provider);

  /** Forwards the open request to a connected provider, which has {@code waitMillis} to answer. */
  void forwardOpenRequest(long connectionId, long waitMillis);

  /** Closes a provider connection, which ends the attempt on it. */
  void abandon(long connectionId);

  /** Relays lines in both directions between a client and a provider that has answered UP. */
  void relay(long clientId, long connectionId);

  /** Sends a client a rejection and closes; a {@code retryAfterMicros} of 0 gives no retry-after. */
  void reject(long clientId, long retryAfterMicros);

  /** Answers a client that its invocation has failed and closes. */
  void fail(long clientId);

  /** The maximum time in microseconds that a move waits for lines under way: several round trips between zones. */
  long MAX_MOVE_WAIT_MICROS = 150_000;

  /**
   * Sends a client MOVE, between two lines, and closes. Lines under way from the provider come first unless it is to
   * happen at once.
   */
  void move(long clientId, boolean atOnce);

  /** Whether lines of this provider connection are left unread because its client reads too slowly. */
  boolean isHeldBack(long connectionId);

  /** Makes sure that the directory is watched. */
  void watchDirectory();

  /** Requests a provider's load report; {@link Core#onLoadReport} takes it if one arrives. */
  void requestLoadReport(String provider);

  /** Writes a line to the operator's log. */
  void log(String message);
}
