package amberhoist.directory;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses such as {@code 10.1.0.18:3000}; only numeric ones, since no DNS is available. */
public final class Address {
  private static final Pattern ADDRESS_PATTERN = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");

  private Address() {}

  /**
   * Parses an IPv4 address with a port.
   *
   * @throws IllegalArgumentException if the text is not such an address
   */
  public static InetSocketAddress parse(String text) {
    Matcher matcher = ADDRESS_PATTERN.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a numeric IPv4 address with a port: " + text);
    }
    try {
      InetAddress host = InetAddress.getByName(matcher.group(1));
      return new InetSocketAddress(host, Integer.parseInt(matcher.group(2)));
    } catch (UnknownHostException fault) {
      throw new IllegalArgumentException("not a numeric IPv4 address with a port: " + text, fault);
    }
  }
}
