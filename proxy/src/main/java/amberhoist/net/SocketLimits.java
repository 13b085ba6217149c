package amberhoist.net;

/**
 * Limits on the resources of one connection; the operator's file may set them.
 *
 * @param linger microseconds to wait for the peer to end its side after ours
 * @param queue bytes; while more than this wait to be written, the other connection of the pair is not read
 * @param discard bytes read and discarded after the final answer; any more are not read
 * @param acceptPause microseconds to wait before the next accept after one has failed or descriptors ran out
 * @param backlog maximum number of connections waiting to be accepted
 */
public record SocketLimits(long linger, int queue, int discard, long acceptPause,
    int backlog) {
  /** The default limits. */
  public static final SocketLimits DEFAULT = new SocketLimits(1_000_000, 16_384, 65_536, 50_000, 1024);
}
