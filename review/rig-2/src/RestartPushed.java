import java.util.List;
import java.util.Map;

/** Lists are pushed; a planned restart after a drain has begun, while discovery is crowded and its calls wait in turn. */
final class RestartPushed {
  private static final long WAIT_MILLIS = 2500; // the site's calls may wait 3 s
  private static final long STOP_SENDING_MILLIS = 500;
  private static final long BOUND_MILLIS = STOP_SENDING_MILLIS + Rig.SOCKET_SLACK_MILLIS;

  public static void main(String[] args) {
    Rig.run(args, rig -> {
      Rig.Discovery discovery = rig.new Discovery();
      Map<String, Rig.Host> hosts = rig.hosts(discovery, "h1", "h2", "h3", "h4", "h5", "h6");
      int port = Rig.freePort();
      String config = rig.config("config.json", "127.0.0.1:" + port, discovery.address(), discovery.known(),
          "automatic", STOP_SENDING_MILLIS).toString();
      Map<String, String> environment = Map.of("LB_CONFIG", config, "TMPDIR", rig.temp.toString());
      Process first = rig.startProxy("first", environment);
      rig.awaitPong("first", port, first, 30_000);
      AutoCloseable traffic = rig.traffic(port, 10, 2000, 1500);
      Rig.sleep(2000);
      List<String> draining = List.of("h1", "h2");
      draining.forEach(name -> hosts.get(name).draining = true);
      discovery.change("leaving", draining);
      long told = rig.now();
      Rig.sleep(3000);
      int before = 0;
      for (String name : draining) {
        before += rig.countLate(name, told + BOUND_MILLIS, "before the restart");
      }
      traffic.close();
      rig.signal("first", first, "TERM");
      if (!first.waitFor(10, java.util.concurrent.TimeUnit.SECONDS)) {
        throw new Rig.CannotRun("the first process did not end");
      }
      discovery.answerDelayMillis = rig.trouble ? WAIT_MILLIS : 0;
      long startedAt = rig.now();
      Process second = rig.startProxy("second", environment);
      rig.awaitPong("second", port, second, 30_000);
      AutoCloseable more = rig.traffic(port, 10, 2000, 1500);
      Rig.sleep(4000);
      more.close();
      Rig.sleep(3000);
      int late = before;
      for (String name : draining) {
        late += rig.countLate(name, startedAt + BOUND_MILLIS, "the list had " + name
            + " leaving since " + told + ", the process was started at " + startedAt);
      }
      rig.log("check", late + " request(s) sent to draining viewer hosts after the bound");
      return late == 0;
    });
  }
}
