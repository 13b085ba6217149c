package amberhoist.net;

import java.io.FileDescriptor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.ProtocolFamily;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousSocketChannel;
import org.slf4j.LoggerFactory;

/**
 * Makes the close of a channel send RST instead of FIN. This takes SO_LINGER with a timeout of zero, an option that
 * asynchronous channels do not support, so it is set by reflection on internal classes. That requires
 * {@code --add-opens java.base/sun.nio.ch}, which the manifest of the jar contains; without it, connections end by FIN.
 */
final class ResetOnClose {
  private static final Integer ZERO_LINGER_SECONDS = 0;
  private static Field descriptorField;
  private static Object unspecifiedFamily;
  private static final Method SET_SOCKET_OPTION = resolveSetSocketOption();

  private ResetOnClose() {}

  private static Method resolveSetSocketOption() {
    try {
      Class<?> net = Class.forName("sun.nio.ch.Net");
      Method set = net.getDeclaredMethod("setSocketOption", FileDescriptor.class, ProtocolFamily.class,
          SocketOption.class, Object.class);
      set.setAccessible(true);
      Field unspecified = net.getDeclaredField("UNSPEC");
      unspecified.setAccessible(true);
      unspecifiedFamily = unspecified.get(null);
      descriptorField = Class.forName("sun.nio.ch.AsynchronousSocketChannelImpl").getDeclaredField("fd");
      descriptorField.setAccessible(true);
      return set;
    } catch (ReflectiveOperationException | RuntimeException fault) {
      LoggerFactory.getLogger(ResetOnClose.class)
          .warn("cannot set SO_LINGER; connections will end by FIN instead of RST: {}", fault.toString());
      return null;
    }
  }

  /** Makes the next close of this channel send RST. */
  static void enable(AsynchronousSocketChannel channel) {
    if (SET_SOCKET_OPTION != null && channel.isOpen()) {
      try {
        SET_SOCKET_OPTION.invoke(null, descriptorField.get(channel), unspecifiedFamily, StandardSocketOptions.SO_LINGER,
            ZERO_LINGER_SECONDS);
      } catch (ReflectiveOperationException fault) {
        // the channel has been closed meanwhile
      }
    }
  }
}
