package amberhoist.config;

import amberhoist.directory.Address;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.file.InvalidPathException;

/**
 * Parses the address of the admin socket: a Unix-domain socket or a loopback address. No other address is allowed, so
 * that the socket, which requires no authentication, cannot be reached from other hosts.
 */
public final class AdminAddress {
  private static final String UNIX_PREFIX = "unix:";

  private AdminAddress() {}

  /**
   * Parses an address; returns null if the text is empty.
   *
   * @throws IllegalArgumentException if the text is not such an address; the message says what was expected
   */
  public static SocketAddress parse(String text) {
    if (text.isEmpty()) {
      return null;
    }
    try {
      if (text.startsWith(UNIX_PREFIX) && text.length() > UNIX_PREFIX.length()) {
        return UnixDomainSocketAddress.of(text.substring(UNIX_PREFIX.length()));
      }
      InetSocketAddress address = Address.parse(text);
      if (address.getAddress().isLoopbackAddress()) {
        return address;
      }
    } catch (InvalidPathException fault) {
      throw new IllegalArgumentException("not a path: " + fault.getMessage(), fault);
    } catch (IllegalArgumentException fault) {
      // reported below, with the expected format
    }
    throw new IllegalArgumentException(
        "expected \"\", \"unix:/path\" or a loopback address such as \"127.0.0.1:9100\", not \"" + text + '"');
  }

  /** Returns the protocol family of the socket for this address. */
  public static StandardProtocolFamily protocolFamily(SocketAddress address) {
    return address instanceof UnixDomainSocketAddress ? StandardProtocolFamily.UNIX : StandardProtocolFamily.INET;
  }
}
