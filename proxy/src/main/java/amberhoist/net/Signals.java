package amberhoist.net;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.slf4j.LoggerFactory;

/**
 * Signals that the JVM has no public interface for. Guards against SIGHUP ending the process: without a
 * handler set here the JVM takes it for a request to exit. The classes are reached by name, since the
 * compiler warns of any mention of them and warnings are errors here.
 */
public final class Signals {
  private Signals() {}

  /** Runs this on a thread of its own at each SIGHUP, in place of ending the process. */
  public static void onHangup(Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler body = (self, method, args) -> switch (method.getName()) {
        case "handle" -> {
          task.run();
          yield null;
        }
        case "equals" -> self == args[0];
        case "hashCode" -> System.identityHashCode(self);
        default -> "hangup";
      };
      Object ours = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, body);
      signal.getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ours);
    } catch (ReflectiveOperationException | RuntimeException shut) {
      LoggerFactory.getLogger(Signals.class)
          .warn("SIGHUP will end this process, no handler can be set: {}", shut.toString());
    }
  }
}
