package amberhoist.cli;

import amberhoist.clock.Clock;
import amberhoist.config.Config.BadConfig;
import amberhoist.config.Config;
import amberhoist.net.Signals;
import amberhoist.service.Service;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** The command line: {@code serve} is the proxy, {@code drill} speaks the simulator's wire. */
public final class Main {
  private static final String USAGE = "usage: java -jar amberhoist.jar serve | drill | rehearse CONFIG";

  private Main() {}

  /** Runs a subcommand; exits with 2 on wrong usage, 1 when it cannot start. */
  public static void main(String[] args) {
    String command = args.length == 1 || args.length == 2 && args[0].equals("rehearse") ? args[0] : "";
    switch (command) {
      case "drill" -> System.exit(amberhoist.drill.Main.run(args, System.in, System.out, System.err));
      case "serve" -> serve();
      case "rehearse" -> rehearse(args[args.length - 1]);
      default -> {
        System.err.println(USAGE);
        System.exit(2);
      }
    }
  }

  private static void rehearse(String file) {
    Signals.onHangup(() -> {});
    try {
      Rehearsal.run(file);
    } catch (BadConfig | IOException fault) {
      System.err.println("rehearsal: " + fault.getMessage());
      System.exit(1);
    }
  }

  private static void serve() {
    CompletableFuture<Service> started = new CompletableFuture<>();
    Signals.onHangup(() -> started.join().reload(System.getenv()));
    try {
      Service service = Service.start(Config.load(System.getenv(), new Clock()));
      service.stopOnSignal();
      started.complete(service);
    } catch (BadConfig fault) {
      System.err.println(fault.getMessage());
      System.exit(1);
    } catch (IOException fault) {
      System.err.println("cannot start: " + fault.getMessage());
      System.exit(1);
    }
  }
}
