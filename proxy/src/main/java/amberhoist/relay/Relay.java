package amberhoist.relay;

import java.util.List;

/**
 * The end of a relay between a client and a provider, as a state machine: events in, actions out. It also records what
 * ended the relay first and how many bytes each side did not get, for the log and the metrics.
 *
 * <p>The first side to end decides how the other one ends. Lines that a side wrote before its end are owed to the other
 * side, and lines that the provider still writes are owed to a client that has only ended its sending side.
 */
public final class Relay {
  /** A side of a relay. */
  public enum Side {
    CLIENT,
    PROVIDER;

    /** The other side. */
    public Side other() {
      return this == CLIENT ? PROVIDER : CLIENT;
    }
  }

  /** How a side ends its connection. */
  public enum Ending {
    FIN,
    RESET
  }

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

  /** What is to be done with a connection of the relay; ignored for a connection that is closed. */
  public enum Action {
    /** Write what is queued for the provider, then send FIN; go on relaying its lines until it ends. */
    END_PROVIDER_OUTPUT,
    /** Send the client MOVE, then FIN, and discard its input. */
    MOVE_CLIENT,
    /** Write what is queued for the client, then send FIN, and discard its input. */
    FINISH_CLIENT,
    /** Write what is queued for the provider, then send FIN, and discard its input. */
    FINISH_PROVIDER,
    /** Write what is queued for the client, then reset its connection. */
    RESET_CLIENT,
    /** Write what is queued for the provider, then reset its connection. */
    RESET_PROVIDER,
    /** Close the connection of the client, which is broken. */
    CLOSE_CLIENT,
    /** Close the connection of the provider, which is broken. */
    CLOSE_PROVIDER
  }

  private enum State {
    RELAYING,
    /** The client has ended its sending side; the provider may still write. */
    CLIENT_ENDED,
    /** The proxy moves the client once the provider has ended or the time for that is over. */
    MOVING,
    ENDED
  }

  private static final int CONNECTIONS = 2;

  private final long invocationId;
  private State state = State.RELAYING;
  private int openConnections = CONNECTIONS;
  private End end;
  private String reason = "";
  private long undeliveredToClientBytes;
  private long undeliveredToProviderBytes;

  /** Creates a relay for the invocation with this id. */
  public Relay(long invocationId) {
    this.invocationId = invocationId;
  }

  /**
   * A side has ended its connection, and all of its lines have been taken.
   *
   * @param newReason the fault that broke the connection, empty if none did
   */
  public List<Action> onEnded(Side side, Ending ending, String newReason) {
    recordEnd(endOf(side, ending), newReason);
    State before = state;
    if (before == State.ENDED) {
      return List.of();
    }
    if (side == Side.CLIENT && ending == Ending.FIN && before == State.MOVING) {
      return List.of();
    }
    if (side == Side.CLIENT && ending == Ending.FIN) {
      state = State.CLIENT_ENDED;
      return List.of(Action.END_PROVIDER_OUTPUT);
    }
    state = State.ENDED;
    if (side == Side.CLIENT) {
      // a provider that was sent FIN is not reset afterwards: its client ended in order
      return List.of(before == State.RELAYING ? Action.RESET_PROVIDER : Action.FINISH_PROVIDER, Action.CLOSE_CLIENT);
    }
    if (before == State.MOVING) {
      return List.of(Action.MOVE_CLIENT, Action.FINISH_PROVIDER);
    }
    return ending == Ending.FIN ? List.of(Action.FINISH_CLIENT, Action.FINISH_PROVIDER)
        : List.of(Action.RESET_CLIENT, Action.CLOSE_PROVIDER);
  }

  /** The provider has not ended its connection in time after its input was ended. */
  public List<Action> onProviderStalled() {
    State before = state;
    state = State.ENDED;
    return switch (before) {
      case CLIENT_ENDED -> List.of(Action.FINISH_CLIENT, Action.CLOSE_PROVIDER);
      case MOVING -> List.of(Action.MOVE_CLIENT, Action.FINISH_PROVIDER);
      default -> List.of();
    };
  }

  /**
   * The proxy moves the client. Lines that the provider has written by then come before MOVE unless it is to happen at
   * once, as for a silent provider.
   */
  public List<Action> onMove(boolean atOnce) {
    recordEnd(End.MOVE, "");
    if (state != State.RELAYING) {
      return List.of();
    }
    state = atOnce ? State.ENDED : State.MOVING;
    return atOnce ? List.of(Action.MOVE_CLIENT, Action.FINISH_PROVIDER)
        : List.of(Action.END_PROVIDER_OUTPUT);
  }

  /** Whether the client is to be sent MOVE, which takes the place of a closing line of the provider. */
  public boolean isMoving() {
    return state == State.MOVING;
  }

  private static End endOf(Side side, Ending ending) {
    if (side == Side.CLIENT) {
      return ending == Ending.FIN ? End.CLIENT_FIN : End.CLIENT_RESET;
    }
    return ending == Ending.FIN ? End.PROVIDER_FIN : End.PROVIDER_RESET;
  }

  private void recordEnd(End newEnd, String newReason) {
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
