package amberhoist.front.line;

/** The kinds of lines from a provider. */
public enum ProviderLine {
  /** The connection is established. */
  UP,
  /** The connection has been served to its end. */
  BYE,
  /** A draining provider asks the client to move. */
  MOVE,
  /** The connection has failed. */
  ERR,
  /** The provider rejected the request without processing it. */
  BUSY,
  /** The load of the connection has changed. */
  LOAD,
  /** Any other line: data of the connection or, as the first line, an invalid answer. */
  OTHER;

  /** Determines the kind of a line, given without its CRLF, from its first word. */
  public static ProviderLine parse(String line) {
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

  /** The value of a LOAD line, or NaN if it is missing, negative, infinite or not a number. */
  public static double parseLoad(String line) {
    try {
      double value = Double.parseDouble(line.substring("LOAD".length()).trim());
      return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
    } catch (NumberFormatException fault) {
      return Double.NaN;
    }
  }
}
