package amberhoist.front.line;

/**
 * Limits for clients of the line protocol; the operator's file may set them.
 *
 * @param firstLineTimeoutMicros microseconds from connecting to the complete open request; PINGs do not extend it
 * @param malformedLingerMicros microseconds to wait for the peer to end its side after it has sent malformed input
 * @param maxPings maximum number of PINGs on one connection; a client that reads no answers would let them accumulate
 * @param shortageRetryAfterMicros retry-after in microseconds for clients rejected because descriptors ran short
 */
public record LineLimits(long firstLineTimeoutMicros, long malformedLingerMicros, int maxPings,
    long shortageRetryAfterMicros) {
  /** The default limits. */
  public static final LineLimits DEFAULT = new LineLimits(2_000_000, 250_000, 16, 500_000);
}
