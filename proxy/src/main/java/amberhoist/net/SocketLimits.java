package amberhoist.net;

/**
 * What one connection may cost, in microseconds and bytes. The operator's file may set it.
 *
 * @param linger for the peer to end its side after ours
 * @param queue above this many bytes waiting to be written, the other side is not read from
 * @param discard bytes taken in after the final answer; the rest is not read
 * @param acceptPause before another accept when one failed
 * @param backlog connections that wait to be accepted
 */
public record SocketLimits(long linger, int queue, int discard, long acceptPause, int backlog) {
  /** What holds where nothing else is set. */
  public static final SocketLimits DEFAULT = new SocketLimits(1_000_000, 16_384, 65_536, 50_000, 1024);
}
