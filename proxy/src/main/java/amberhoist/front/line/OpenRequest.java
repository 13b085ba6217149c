package amberhoist.front.line;

import amberhoist.core.InvocationRequest;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * The first line of a client, with which it opens a connection. It is forwarded to a provider unchanged except for the
 * value of {@code d}, so the original text is kept along with the parsed values.
 *
 * @param id id of the connection, unique for every connection
 * @param key key of the flow
 * @param type class of the connection, field {@code c}
 * @param tenant account, field {@code t}; null if absent
 * @param group the client or the group that it belongs to, field {@code g}; null if absent
 * @param waitMillis milliseconds that the client waits for UP, field {@code d}
 * @param loadHint the client's estimate of the load in microseconds per second, field {@code h}; 0 if absent
 * @param isRetry whether the client marked the request as a retry, field {@code r}
 * @param isReturning whether the client's previous connection was moved or broke, field {@code again}
 * @param establishedProvider provider of a connection that is established already, field {@code at}; null if absent
 * @param originalLine the line without its CRLF
 * @param waitStart index in the text at which the value of {@code d} begins
 * @param waitEnd index in the text after the value of {@code d}
 */
public record OpenRequest(String id, String key, String type, String tenant, String group, long waitMillis,
    double loadHint, boolean isRetry, boolean isReturning, String establishedProvider, String originalLine,
    int waitStart, int waitEnd) {
  /** Maximum length of a line of the protocol in bytes, line end included. */
  public static final int MAX_LINE_BYTES = 4096;

  private static final String OPEN_PREFIX = "OPEN ";
  private static final int MAX_WAIT_MILLIS = 60_000; // no deployment lets clients wait longer for a new connection
  private static final int MAX_WAIT_DIGITS = 9; // d may exceed the maximum if the field at is present
  private static final double MAX_LOAD_HINT = 1e9; // microseconds per second, as of a thousand cores

  /** Parses a first line, given without its CRLF. */
  public static OpenRequest parse(String line) throws MalformedLineException {
    for (int i = 0; i < line.length(); i++) {
      require(line.charAt(i) >= ' ' && line.charAt(i) < 0x7f, "character is not printable ASCII");
    }
    require(line.startsWith(OPEN_PREFIX), "line is not an OPEN");
    int idEnd = line.indexOf(' ', OPEN_PREFIX.length());
    require(idEnd > OPEN_PREFIX.length(), "id is missing");
    int keyEnd = line.indexOf(' ', idEnd + 1);
    require(keyEnd > idEnd + 1, "key is missing");
    require(line.indexOf(' ', keyEnd + 1) < 0, "more than four words");
    Map<String, String> values = new HashMap<>();
    int waitFrom = -1;
    int fieldStart = keyEnd + 1;
    while (fieldStart <= line.length()) {
      int comma = line.indexOf(',', fieldStart);
      int fieldEnd = comma < 0 ? line.length() : comma;
      int equals = line.indexOf('=', fieldStart);
      require(equals > fieldStart && equals < fieldEnd, "field is not of the form name=value");
      String name = line.substring(fieldStart, equals);
      require(values.put(name, line.substring(equals + 1, fieldEnd)) == null, "field is given twice");
      waitFrom = name.equals("d") ? equals + 1 : waitFrom;
      fieldStart = fieldEnd + 1;
    }
    require(values.containsKey("c"), "field c is missing");
    require(!"".equals(values.get("at")), "field at is empty");
    require(waitFrom >= 0, "field d is missing");
    String waitValue = values.get("d");
    require(parseWaitMillis(waitValue) <= MAX_WAIT_MILLIS || values.containsKey("at"), "field d exceeds the maximum");
    return new OpenRequest(line.substring(OPEN_PREFIX.length(), idEnd), line.substring(idEnd + 1, keyEnd),
        values.get("c"), values.get("t"), values.get("g"),
        parseWaitMillis(waitValue), parseLoadHint(values.get("h")), "1".equals(values.get("r")),
        "1".equals(values.get("again")), values.get("at"), line, waitFrom, waitFrom + waitValue.length());
  }

  /** The arrival that the core handles for this request. */
  public InvocationRequest toArrival() {
    return new InvocationRequest(type, tenant, key, group, waitMillis, loadHint, isRetry, isReturning,
        establishedProvider);
  }

  /** The line to forward to a provider, CRLF included, with the milliseconds that the proxy will wait as {@code d}. */
  public byte[] forwardedLine(long proxyWaitMillis) {
    String forwarded =
        originalLine.substring(0, waitStart) + proxyWaitMillis + originalLine.substring(waitEnd) + "\r\n";
    return forwarded.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static long parseWaitMillis(String text) throws MalformedLineException {
    boolean isWholeNumber = !text.isEmpty() && text.length() <= MAX_WAIT_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
    require(isWholeNumber, "field d is not a whole number");
    return Long.parseLong(text);
  }

  private static double parseLoadHint(String text) throws MalformedLineException {
    if (text == null) {
      return 0;
    }
    try {
      double value = Double.parseDouble(text);
      require(value >= 0 && value <= MAX_LOAD_HINT, "field h is out of range");
      return value;
    } catch (NumberFormatException fault) {
      throw new MalformedLineException("field h is not a number");
    }
  }

  private static void require(boolean condition, String reason) throws MalformedLineException {
    if (!condition) {
      throw new MalformedLineException(reason);
    }
  }
}
