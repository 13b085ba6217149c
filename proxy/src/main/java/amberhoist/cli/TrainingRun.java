package amberhoist.cli;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig;
import amberhoist.config.PlatformConfig.InvalidConfigException;
import amberhoist.log.EventLog;
import amberhoist.log.LogSettings;
import amberhoist.service.Service;
import amberhoist.signal.Signals;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * A short run of the proxy on loopback, during which the build lets the JVM archive the loaded classes (class data
 * sharing). Without the archive, half of the startup time on a fraction of a core goes into loading classes, and during
 * a rolling restart clients wait for the proxy that starts.
 */
final class TrainingRun {
  private TrainingRun() {}

  /** Runs as a process, with the same log and signal handling as {@code serve}. */
  static void main(String file) {
    EventLog.selectBackend(LogSettings.DEFAULT.format());
    EventLog.redirectStandardError(LogSettings.DEFAULT.queueBytes(), new EventLog("training", LogSettings.DEFAULT));
    Signals.onHangup(() -> {});
    try {
      run(file);
    } catch (InvalidConfigException | IOException fault) {
      System.err.println("training run: " + fault.getMessage());
      EventLog.flush();
      System.exit(1);
    }
    EventLog.flush();
  }

  /**
   * Starts a proxy with this configuration, sends it a PING, an invocation that no provider answers and management
   * requests, then stops it.
   */
  static void run(String file) throws InvalidConfigException, IOException {
    Map<String, String> environment = Map.of("LB_CONFIG", file, "LB_LISTEN", "127.0.0.1:0",
        "LB_DISCOVERY", "127.0.0.1:1", "LB_MGMT", "127.0.0.1:0");
    Service service = Service.start(PlatformConfig.load(environment, new Clock()));
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), service.address().getPort())) {
      client.setSoTimeout(10_000);
      BufferedReader responses = new BufferedReader(
          new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1));
      client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.ISO_8859_1));
      System.err.println("training run: " + responses.readLine());
      client.getOutputStream().write("OPEN 1 1 c=scan-tiles,t=acme,d=200,g=1\r\n"
          .getBytes(StandardCharsets.ISO_8859_1));
      System.err.println("training run: " + responses.readLine());
    }
    for (String path : List.of("/v1/readyz", "/v1/metrics")) {
      try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), service.managementAddress().getPort())) {
        operator.setSoTimeout(10_000);
        operator.getOutputStream().write(("GET " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        String response = new String(operator.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        System.err.println("training run: " + response.lines().findFirst().orElse("no response"));
      }
    }
    service.reload(environment);
    service.stop();
  }
}
