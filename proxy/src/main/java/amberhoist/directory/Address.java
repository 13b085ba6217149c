package amberhoist.directory;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads addresses such as {@code 10.1.0.18:3000}: numbers only, for there is no DNS. */
public final class Address {
  private static final Pattern FORM = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");

  private Address() {}

  /** The address, or {@link IllegalArgumentException}. */
  public static InetSocketAddress parse(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not an address: " + text);
    }
    try {
      InetAddress host = InetAddress.getByName(matcher.group(1));
      return new InetSocketAddress(host, Integer.parseInt(matcher.group(2)));
    } catch (UnknownHostException fault) {
      throw new IllegalArgumentException("not an address: " + text, fault);
    }
  }
}
