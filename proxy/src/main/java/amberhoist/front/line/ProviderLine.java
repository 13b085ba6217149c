package amberhoist.front.line;

/** What a line from a provider means to the proxy, which passes it on whatever it means. */
public enum ProviderLine {
  /** The connection stands. */
  UP,
  /** Served to its end. */
  BYE,
  /** Sent away by a provider that drains. */
  MOVE,
  /** An error. */
  ERR,
  /** Turned away unseen. */
  BUSY,
  /** The connection's load is now another. */
  LOAD,
  /** Anything else: data of the connection, or no answer at all to its first line. */
  OTHER;

  /** Tells a line, given without its CRLF, by its first word. */
  public static ProviderLine of(String line) {
    int space = line.indexOf(' ');
    String verb = space < 0 ? line : line.substring(0, space);
    return switch (verb) {
      case "UP" -> space > 0 && space + 1 < line.length() ? UP : OTHER;
      case "BYE" -> BYE;
      case "MOVE" -> MOVE;
      case "ERR" -> ERR;
      case "BUSY" -> BUSY;
      case "LOAD" -> LOAD;
      default -> OTHER;
    };
  }

  /** The figure of a LOAD line, or NaN where there is none to go by. */
  public static double load(String line) {
    try {
      double value = Double.parseDouble(line.substring("LOAD".length()).trim());
      return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
    } catch (NumberFormatException fault) {
      return Double.NaN;
    }
  }
}
