package amberhoist.relay;

/**
 * A client's and a provider's connection that relay lines to each other. Records what ended the relay and how many
 * bytes each side did not get, for the log and the metrics.
 */
public final class Relay {
  /** What ended a relay first. */
  public enum End {
    /** The client has ended its sending side. */
    CLIENT_FIN,
    /** The client's connection broke. */
    CLIENT_RESET,
    /** The provider has ended its sending side. */
    PROVIDER_FIN,
    /** The provider's connection broke. */
    PROVIDER_RESET,
    /** The proxy has moved the client. */
    MOVE,
    /** The proxy has closed a connection for another reason, such as its own end. */
    CLOSE
  }

  /** A side of a relay. */
  public enum Side {
    CLIENT,
    PROVIDER
  }

  private static final int CONNECTIONS = 2;

  private final long invocationId;
  private int openConnections = CONNECTIONS;
  private End end;
  private String reason = "";
  private long undeliveredToClientBytes;
  private long undeliveredToProviderBytes;

  /** Creates a relay for the invocation with this id. */
  public Relay(long invocationId) {
    this.invocationId = invocationId;
  }

  /** Records what ended this relay, unless an earlier end is recorded; {@code newReason} names a fault, or is empty. */
  public void recordEnd(End newEnd, String newReason) {
    if (end == null) {
      end = newEnd;
      reason = newReason;
    }
  }

  /** Counts bytes that a side of this relay was to be sent and will not get. */
  public void addUndelivered(Side receiver, long bytes) {
    if (receiver == Side.PROVIDER) {
      undeliveredToProviderBytes += bytes;
    } else {
      undeliveredToClientBytes += bytes;
    }
  }

  /** One of the connections is closed; returns whether both are. */
  public boolean onClosed() {
    recordEnd(End.CLOSE, "");
    openConnections--;
    return openConnections == 0;
  }

  /** The id of the invocation that the lines belong to. */
  public long invocationId() {
    return invocationId;
  }

  /** What ended the relay first, null while it goes on. */
  public End end() {
    return end;
  }

  /** The fault that broke the connection which ended first; empty if none did. */
  public String reason() {
    return reason;
  }

  /** Bytes of the provider that were read and not written to the client. Bytes still in a socket are not counted. */
  public long undeliveredToClientBytes() {
    return undeliveredToClientBytes;
  }

  /** Bytes of the client that were read and not written to the provider. Bytes still in a socket are not counted. */
  public long undeliveredToProviderBytes() {
    return undeliveredToProviderBytes;
  }
}
