package amberhoist.signal;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.LoggerFactory;

/**
 * Handles signals for which the JVM has no public API. Without a handler for SIGHUP, the JVM exits on it. The internal
 * classes are accessed by reflection because the compiler warns of any direct use, and warnings are errors here.
 */
public final class Signals {
  private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
  private static final Pattern IGNORED_SIGNALS = Pattern.compile("(?m)^SigIgn:\\s*([0-9a-f]+)$");
  private static volatile boolean hangupIgnored;

  private Signals() {}

  /**
   * Whether this process ignored SIGHUP when {@link #onHangup} was called, as a process inherits it from {@code nohup}
   * and some supervisors. The JVM then sets no handler, without an error. False where the system does not say.
   */
  public static boolean isHangupIgnored() {
    return hangupIgnored;
  }

  /** Whether the text of {@code /proc/PID/status} lists SIGHUP, the lowest bit, as ignored. */
  static boolean listsHangupAsIgnored(String processStatus) {
    Matcher mask = IGNORED_SIGNALS.matcher(processStatus);
    return mask.find() && (Character.digit(mask.group(1).charAt(mask.group(1).length() - 1), 16) & 1) == 1;
  }

  private static boolean readHangupIgnored() {
    try {
      return listsHangupAsIgnored(Files.readString(PROCESS_STATUS));
    } catch (IOException unknown) {
      return false;
    }
  }

  /** Runs the task on a separate thread at each SIGHUP, instead of ending the process. */
  public static void onHangup(Runnable task) {
    hangupIgnored = readHangupIgnored();
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler invocationHandler = (self, method, args) -> switch (method.getName()) {
        case "handle" -> {
          task.run();
          yield null;
        }
        case "equals" -> self == args[0];
        case "hashCode" -> System.identityHashCode(self);
        default -> "hangup";
      };
      Object handlerProxy =
          Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, invocationHandler);
      signal.getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
    } catch (ReflectiveOperationException | RuntimeException fault) {
      LoggerFactory.getLogger(Signals.class)
          .warn("cannot set a handler for SIGHUP, which will end this process: {}", fault.toString());
    }
  }
}
