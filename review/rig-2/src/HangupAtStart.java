import java.util.Map;

/** A proxy is restarted as planned, and a new configuration is announced by SIGHUP while it starts. */
final class HangupAtStart {
  public static void main(String[] args) {
    Rig.run(args, rig -> {
      Rig.Discovery discovery = rig.new Discovery();
      rig.hosts(discovery, "h1", "h2", "h3");
      int port = Rig.freePort();
      String config = rig.config("config.json", "127.0.0.1:" + port, discovery.address(), discovery.known(),
          "subscribe").toString();
      Map<String, String> environment = Map.of("LB_CONFIG", config, "TMPDIR", rig.temp.toString());
      Process first = rig.startProxy("first", environment);
      rig.awaitPong("first", port, first, 30_000);
      rig.signal("first", first, "TERM");
      if (!first.waitFor(10, java.util.concurrent.TimeUnit.SECONDS)) {
        throw new Rig.CannotRun("the first process did not end");
      }
      Process second = rig.startProxy("second", environment);
      if (!rig.trouble) {
        rig.awaitPong("second", port, second, 30_000);
      } else {
        Rig.sleep(20);
      }
      rig.signal("second", second, "HUP");
      long end = rig.now() + 30_000;
      while (rig.now() < end) {
        if (!second.isAlive()) {
          rig.log("check", "BREACH: the process exited, status " + second.exitValue());
          return false;
        }
        try {
          rig.awaitPong("second", port, second, 1000);
          break;
        } catch (Rig.CannotRun notYet) {
          rig.log("second", notYet.getMessage());
        }
      }
      Rig.sleep(2000);
      rig.log("check", second.isAlive() ? "the process lives" : "BREACH: the process exited");
      return second.isAlive();
    });
  }
}
