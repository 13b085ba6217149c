package amberhoist.front.line;

import amberhoist.core.Arrival;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * The line with which a client opens a connection. It goes on to a provider as it came, but for {@code d}, so
 * its text is kept beside what was read from it.
 *
 * @param id new for every connection
 * @param key the flow's key
 * @param type the class
 * @param tenant the account, null where there is none
 * @param group the client or the group it belongs to, null where there is none
 * @param waitMillis how long the client waits for UP
 * @param hint the guess at the load, 0 where there is none
 * @param retry marked as a retry
 * @param returning the client's connection was moved or broke
 * @param provider where the connection already stands, null for a new one
 * @param text the line without its end
 * @param waitFrom where in the text the figure of {@code d} begins
 * @param waitTo and where it ends
 */
public record Opening(String id, String key, String type, String tenant, String group, long waitMillis,
    double hint, boolean retry, boolean returning, String provider, String text, int waitFrom, int waitTo) {
  /** The longest line of the protocol, its end included. */
  public static final int LONGEST = 4096;

  private static final String VERB = "OPEN ";
  private static final int WAIT_MOST = 60_000; // no deployment waits that long for a new connection
  private static final int WAIT_DIGITS = 9; // for one handed over, whose figure may be any
  private static final double HINT_MOST = 1e9; // microseconds a second: a thousand cores

  /** Reads a first line given without its CRLF. */
  public static Opening parse(String line) throws MalformedLine {
    for (int i = 0; i < line.length(); i++) {
      require(line.charAt(i) >= ' ' && line.charAt(i) < 0x7f, "a character that is not plain ASCII");
    }
    require(line.startsWith(VERB), "no OPEN");
    int idEnd = line.indexOf(' ', VERB.length());
    require(idEnd > VERB.length(), "no id");
    int keyEnd = line.indexOf(' ', idEnd + 1);
    require(keyEnd > idEnd + 1, "no key");
    require(line.indexOf(' ', keyEnd + 1) < 0, "a fifth word");
    Map<String, String> values = new HashMap<>();
    int waitFrom = -1;
    int at = keyEnd + 1;
    while (at <= line.length()) {
      int comma = line.indexOf(',', at);
      int end = comma < 0 ? line.length() : comma;
      int equals = line.indexOf('=', at);
      require(equals > at && equals < end, "a value without a name");
      String name = line.substring(at, equals);
      require(values.put(name, line.substring(equals + 1, end)) == null, "a name given twice");
      waitFrom = name.equals("d") ? equals + 1 : waitFrom;
      at = end + 1;
    }
    require(values.containsKey("c"), "no class");
    require(!"".equals(values.get("at")), "at names no provider");
    require(waitFrom >= 0, "no d");
    String wait = values.get("d");
    require(whole(wait) <= WAIT_MOST || values.containsKey("at"), "d is longer than anybody waits");
    return new Opening(line.substring(VERB.length(), idEnd), line.substring(idEnd + 1, keyEnd),
        values.get("c"), values.get("t"), values.get("g"),
        whole(wait), number(values.get("h")), "1".equals(values.get("r")), "1".equals(values.get("again")),
        values.get("at"), line, waitFrom, waitFrom + wait.length());
  }

  /** What it asks of the core. */
  public Arrival arrival() {
    return new Arrival(type, tenant, key, group, waitMillis, hint, retry, returning, provider);
  }

  /** The line for a provider, CRLF included, telling how long the proxy will wait. */
  public byte[] forward(long millis) {
    String line = text.substring(0, waitFrom) + millis + text.substring(waitTo) + "\r\n";
    return line.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static long whole(String text) throws MalformedLine {
    boolean digits = !text.isEmpty() && text.length() <= WAIT_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
    require(digits, "d is not a whole number");
    return Long.parseLong(text);
  }

  private static double number(String text) throws MalformedLine {
    if (text == null) {
      return 0;
    }
    try {
      double value = Double.parseDouble(text);
      require(value >= 0 && value <= HINT_MOST, "a hint out of range");
      return value;
    } catch (NumberFormatException fault) {
      throw new MalformedLine("h is not a number");
    }
  }

  private static void require(boolean holds, String fault) throws MalformedLine {
    if (!holds) {
      throw new MalformedLine(fault);
    }
  }
}
