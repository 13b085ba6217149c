package amberhoist.front.line;

/**
 * What the line front grants a client, in microseconds. The operator's file may set it.
 *
 * @param firstLine after connecting, whatever else the client sends
 * @param badLinger for the peer's end, after what cannot be read
 * @param pings on one connection: their answers pile up if nobody reads them
 * @param crowdedAdvice what a client rejected for want of descriptors is told to wait
 */
public record LineLimits(long firstLine, long badLinger, int pings, long crowdedAdvice) {
  /** What holds where nothing else is set. */
  public static final LineLimits DEFAULT = new LineLimits(2_000_000, 250_000, 16, 500_000);
}
