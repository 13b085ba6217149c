package amberhoist.net.option;

import java.io.FileDescriptor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.ProtocolFamily;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousSocketChannel;
import org.slf4j.LoggerFactory;

/**
 * Socket options that asynchronous channels do not support, set by reflection on internal classes. That requires
 * {@code --add-opens java.base/sun.nio.ch}, which the manifest of the jar contains; without it, connections end by FIN
 * instead of RST.
 */
public final class UnsupportedOptions {
  private static final Integer ZERO_LINGER_SECONDS = 0;
  private static final int IPPROTO_TCP = 6;
  private static final int TCP_NOTSENT_LOWAT = 25;
  private static Field descriptorField;
  private static Object unspecifiedFamily;
  private static Method setIntOption;
  private static Method poll;
  private static Integer writableEvent;
  private static final Method SET_SOCKET_OPTION = resolveSetSocketOption();

  private UnsupportedOptions() {}

  private static Method resolveSetSocketOption() {
    try {
      Class<?> net = Class.forName("sun.nio.ch.Net");
      Method set = accessible(net.getDeclaredMethod("setSocketOption", FileDescriptor.class, ProtocolFamily.class,
          SocketOption.class, Object.class));
      Field unspecified = net.getDeclaredField("UNSPEC");
      unspecified.setAccessible(true);
      unspecifiedFamily = unspecified.get(null);
      descriptorField = Class.forName("sun.nio.ch.AsynchronousSocketChannelImpl").getDeclaredField("fd");
      descriptorField.setAccessible(true);
      setIntOption = accessible(net.getDeclaredMethod("setIntOption0", FileDescriptor.class, boolean.class, int.class,
          int.class, int.class, boolean.class));
      poll = accessible(net.getDeclaredMethod("poll", FileDescriptor.class, int.class, long.class));
      writableEvent = Integer.valueOf((Short) accessible(net.getDeclaredMethod("polloutValue")).invoke(null));
      return set;
    } catch (ReflectiveOperationException | RuntimeException fault) {
      LoggerFactory.getLogger(UnsupportedOptions.class)
          .warn("cannot set SO_LINGER; connections will end by FIN instead of RST: {}", fault.toString());
      return null;
    }
  }

  private static Method accessible(Method method) {
    method.setAccessible(true);
    return method;
  }

  /** Makes the next close of this channel send RST, by SO_LINGER with a timeout of zero. */
  public static void resetOnClose(AsynchronousSocketChannel channel) {
    if (SET_SOCKET_OPTION != null && channel.isOpen()) {
      try {
        SET_SOCKET_OPTION.invoke(null, descriptorField.get(channel), unspecifiedFamily, StandardSocketOptions.SO_LINGER,
            ZERO_LINGER_SECONDS);
      } catch (ReflectiveOperationException fault) {
        // the channel has been closed meanwhile
      }
    }
  }

  /**
   * Whether the system holds written bytes that it has not sent yet, because the peer or the network is slow; a reset
   * would discard them. With a low-water mark of one byte for unsent data, a socket is writable only once there is
   * none. False where this cannot be told.
   */
  public static boolean hasUnsentBytes(AsynchronousSocketChannel channel) {
    if (SET_SOCKET_OPTION == null || !channel.isOpen()) {
      return false;
    }
    try {
      Object descriptor = descriptorField.get(channel);
      setIntOption.invoke(null, descriptor, false, IPPROTO_TCP, TCP_NOTSENT_LOWAT, 1, false);
      return (Integer) poll.invoke(null, descriptor, writableEvent, 0L) == 0;
    } catch (ReflectiveOperationException fault) {
      return false; // an unknown option, or the channel has been closed meanwhile
    }
  }
}
