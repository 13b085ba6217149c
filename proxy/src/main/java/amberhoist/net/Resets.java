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
 * Ends a connection by a reset. Asynchronous channels do not offer SO_LINGER, the one way to ask for that, so
 * it is set behind their back; this needs {@code --add-opens java.base/sun.nio.ch}, which the jar's manifest
 * brings. Without it connections end by FIN instead.
 */
final class Resets {
  private static final Integer AT_ONCE = 0;
  private static Field descriptor;
  private static Object anyFamily;
  private static final Method SET = setter();

  private Resets() {}

  private static Method setter() {
    try {
      Class<?> net = Class.forName("sun.nio.ch.Net");
      Method set = net.getDeclaredMethod("setSocketOption", FileDescriptor.class, ProtocolFamily.class,
          SocketOption.class, Object.class);
      set.setAccessible(true);
      Field unspecified = net.getDeclaredField("UNSPEC");
      unspecified.setAccessible(true);
      anyFamily = unspecified.get(null);
      descriptor = Class.forName("sun.nio.ch.AsynchronousSocketChannelImpl").getDeclaredField("fd");
      descriptor.setAccessible(true);
      return set;
    } catch (ReflectiveOperationException | RuntimeException shut) {
      LoggerFactory.getLogger(Resets.class)
          .warn("connections will end by FIN where a reset was due: {}", shut.toString());
      return null;
    }
  }

  /** Makes the coming close of this channel a reset. */
  static void arm(AsynchronousSocketChannel channel) {
    if (SET != null && channel.isOpen()) {
      try {
        SET.invoke(null, descriptor.get(channel), anyFamily, StandardSocketOptions.SO_LINGER, AT_ONCE);
      } catch (ReflectiveOperationException gone) {
        // a connection that is closed already needs no reset
      }
    }
  }
}
