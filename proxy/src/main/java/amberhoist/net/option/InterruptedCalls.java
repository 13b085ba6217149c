package amberhoist.net.option;

/**
 * Reads and writes that a signal has interrupted (EINTR). Asynchronous channels do not repeat them but complete with a
 * number below that of the end of input, and have transferred nothing.
 */
public final class InterruptedCalls {
  private static final int INTERRUPTED = -3; // sun.nio.ch.IOStatus.INTERRUPTED

  private InterruptedCalls() {}

  /** Whether this result of a read or write means that it has to be repeated. */
  public static boolean isInterrupted(int result) {
    return result == INTERRUPTED;
  }
}
