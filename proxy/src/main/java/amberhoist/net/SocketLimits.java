package amberhoist.net;

/**
 * Limits on the resources of one connection; the operator's file may set them.
 *
 * @param lingerMicros time to wait for the peer to end its side after ours, in microseconds
 * @param maxQueuedBytes bytes waiting to be written beyond which the other connection of the pair is not read
 * @param maxDiscardedBytes bytes read and discarded after the final answer; any more are not read
 * @param acceptPauseMicros microseconds to wait before the next accept after one has failed or descriptors ran out
 * @param backlog maximum number of connections waiting to be accepted
 */
public record SocketLimits(long lingerMicros, int maxQueuedBytes, int maxDiscardedBytes, long acceptPauseMicros,
    int backlog) {
  /** The default limits. */
  public static final SocketLimits DEFAULT = new SocketLimits(1_000_000, 16_384, 65_536, 50_000, 1024);
}
