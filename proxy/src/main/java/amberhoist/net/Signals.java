package amberhoist.net;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.slf4j.LoggerFactory;

/**
 * Handles signals for which the JVM has no public API. Without a handler for SIGHUP, the JVM exits on it. The internal
 * classes are accessed by reflection because the compiler warns of any direct use, and warnings are errors here.
 */
public final class Signals {
  private Signals() {}

  /** Runs the task on a separate thread at each SIGHUP, instead of ending the process. */
  public static void onHangup(Runnable task) {
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
