package amberhoist.lab.soak;

import amberhoist.lab.emulator.RandomSource;

/**
 * How one connection of a soak run is used and how it ends.
 *
 * @param exchanges lines that the client sends and waits for, one after the other, before the end
 * @param initiator who ends the connection
 * @param how how it is ended
 * @param lastLines lines that the provider writes at the end, before its BYE
 * @param linesAcross lines that the client sends without waiting while the provider ends
 * @param readDelayMillis how long the client waits before it reads the last lines, in milliseconds
 */
record ConnectionScript(int exchanges, Initiator initiator, How how, int lastLines, int linesAcross,
    int readDelayMillis) {
  /** Who ends the connection. */
  enum Initiator {
    /** The client ends its sending side or its connection; the provider answers with its last lines. */
    CLIENT,
    /** The provider ends; the client then waits for the end. */
    PROVIDER,
    /** The client ends its sending side at the time at which the provider ends. */
    BOTH,
    /** Nobody: the client uses the connection until it is moved. */
    NOBODY
  }

  /** How a connection is ended. */
  enum How {
    FIN,
    CLOSE,
    RESET
  }

  private static final double LONG_LIVED_FRACTION = 0.02;
  private static final double SLOW_READER_FRACTION = 0.05;
  private static final int MANY_LINES = 400;
  private static final int MAX_READ_DELAY_MILLIS = 600;

  static ConnectionScript draw(RandomSource random) {
    Initiator initiator = random.nextBoolean(LONG_LIVED_FRACTION) ? Initiator.NOBODY
        : Initiator.values()[random.nextInt(Initiator.NOBODY.ordinal())];
    int exchanges = random.nextInt(4);
    int linesAcross = random.nextInt(4);
    if (random.nextBoolean(SLOW_READER_FRACTION)) {
      // by FIN: with a reset, the system of the side that ends discards what the proxy has not read yet
      return new ConnectionScript(exchanges, initiator, How.FIN, MANY_LINES, linesAcross,
          random.nextInt(MAX_READ_DELAY_MILLIS));
    }
    How how = How.values()[random.nextInt(How.values().length)];
    return new ConnectionScript(exchanges, initiator, how, random.nextInt(4), linesAcross, 0);
  }
}
