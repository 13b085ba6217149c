package amberhoist.config;

import amberhoist.directory.Address;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.file.InvalidPathException;

/** Reads where the admin socket is: a Unix-domain socket or a loopback address, nothing that others can reach. */
public final class AdminAddress {
  private static final String UNIX = "unix:";

  private AdminAddress() {}

  /** The address, null for none, or {@link IllegalArgumentException}. */
  public static SocketAddress parse(String text) {
    if (text.isEmpty()) {
      return null;
    }
    try {
      if (text.startsWith(UNIX) && text.length() > UNIX.length()) {
        return UnixDomainSocketAddress.of(text.substring(UNIX.length()));
      }
      InetSocketAddress address = Address.parse(text);
      if (address.getAddress().isLoopbackAddress()) {
        return address;
      }
    } catch (InvalidPathException fault) {
      throw new IllegalArgumentException("not a path: " + fault.getMessage(), fault);
    } catch (IllegalArgumentException fault) {
      // told below, with what was expected
    }
    throw new IllegalArgumentException(
        "expected \"\", \"unix:/path\" or a loopback address such as \"127.0.0.1:9100\", not \"" + text + '"');
  }

  /** The kind of socket that this address wants. */
  public static StandardProtocolFamily family(SocketAddress address) {
    return address instanceof UnixDomainSocketAddress ? StandardProtocolFamily.UNIX : StandardProtocolFamily.INET;
  }
}
