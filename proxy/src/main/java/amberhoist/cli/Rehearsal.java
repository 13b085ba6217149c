package amberhoist.cli;

import amberhoist.clock.Clock;
import amberhoist.config.Config;
import amberhoist.config.Config.BadConfig;
import amberhoist.log.EventLog;
import amberhoist.log.LogSettings;
import amberhoist.net.Signals;
import amberhoist.service.Service;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * A short life of the proxy on loopback, run once by the build so that the JVM can archive the classes it
 * loads. Guards against slow restarts: with part of a core, half of the start went into loading classes, and
 * while proxies are restarted in turn clients wait for the one that starts.
 */
final class Rehearsal {
  private Rehearsal() {}

  /** Runs it as a process, with log and signals as {@code serve} has them. */
  static void main(String file) {
    EventLog.choose(LogSettings.DEFAULT.format());
    EventLog.redirect(LogSettings.DEFAULT.queue(), new EventLog("rehearsal", LogSettings.DEFAULT));
    Signals.onHangup(() -> {});
    try {
      run(file);
    } catch (BadConfig | IOException fault) {
      System.err.println("rehearsal: " + fault.getMessage());
      EventLog.flush();
      System.exit(1);
    }
    EventLog.flush();
  }

  /** Serves a PING and one invocation, which no provider answers, by this configuration; then stops. */
  static void run(String file) throws BadConfig, IOException {
    Map<String, String> environment = Map.of("LB_CONFIG", file, "LB_LISTEN", "127.0.0.1:0",
        "LB_DISCOVERY", "127.0.0.1:1", "LB_MGMT", "127.0.0.1:0");
    Service service = Service.start(Config.load(environment, new Clock()));
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), service.address().getPort())) {
      client.setSoTimeout(10_000);
      BufferedReader answers = new BufferedReader(
          new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1));
      client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.ISO_8859_1));
      System.err.println("rehearsal: " + answers.readLine());
      client.getOutputStream().write("OPEN 1 1 c=scan-tiles,t=acme,d=200,g=1\r\n"
          .getBytes(StandardCharsets.ISO_8859_1));
      System.err.println("rehearsal: " + answers.readLine());
    }
    for (String path : List.of("/v1/readyz", "/v1/metrics")) {
      try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), service.doorAddress().getPort())) {
        operator.setSoTimeout(10_000);
        operator.getOutputStream().write(("GET " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        String answer = new String(operator.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        System.err.println("rehearsal: " + answer.lines().findFirst().orElse("no answer"));
      }
    }
    service.reload(environment);
    service.stop();
  }
}
