package amberhoist.front.line;

/**
 * Limits for clients of the line protocol; the operator's file may set them.
 *
 * @param firstLine microseconds from connecting to the complete open request; PINGs do not extend it
 * @param badLinger microseconds to wait for the peer to end its side after it has sent malformed input
 * @param pings maximum number of PINGs on one connection; a client that reads no answers would let them accumulate
 * @param crowdedAdvice retry-after in microseconds for clients rejected because descriptors ran short
 */
public record LineLimits(long firstLine, long badLinger, int pings,
    long crowdedAdvice) {
  /** The default limits. */
  public static final LineLimits DEFAULT = new LineLimits(2_000_000, 250_000, 16, 500_000);
}
