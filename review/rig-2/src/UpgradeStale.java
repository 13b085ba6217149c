import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The proxy has been told of a drain; then a new version is started beside it while discovery is out of reach. */
final class UpgradeStale {
  public static void main(String[] args) {
    Rig.run(args, rig -> {
      Rig.Discovery discovery = rig.new Discovery();
      Map<String, Rig.Host> hosts = rig.hosts(discovery, "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8");
      int port = Rig.freePort();
      int oldMgmt = Rig.freePort();
      int newMgmt = Rig.freePort();
      String config = rig.config("config.json", "127.0.0.1:" + port, discovery.address(), discovery.known(),
          "subscribe").toString();
      Path shared = Files.createDirectory(rig.temp.resolve("shared"));
      Process old = rig.startProxy("old", Map.of("LB_CONFIG", config, "TMPDIR", shared.toString(),
          "LB_MGMT", "127.0.0.1:" + oldMgmt));
      rig.awaitReady("old", old, oldMgmt, 30_000);
      rig.awaitPong("old", port, old, 30_000);
      AutoCloseable traffic = rig.traffic(port, 10, 2000, 4000);
      Rig.sleep(3000);
      List<String> draining = List.of("h1", "h2", "h3");
      draining.forEach(name -> hosts.get(name).draining = true);
      discovery.change("leaving", draining);
      long told = rig.now();
      if (discovery.toldAt.get("h1") == null) {
        throw new Rig.CannotRun("the old process has no watch");
      }
      Rig.sleep(1500);
      long downAt = rig.now();
      if (rig.trouble) {
        discovery.goDown();
      }
      Rig.sleep(1000);
      long startedAt = rig.now();
      Process successor = rig.startProxy("new", Map.of("LB_CONFIG", config, "TMPDIR", shared.toString(),
          "LB_MGMT", "127.0.0.1:" + newMgmt));
      rig.awaitReady("new", successor, newMgmt, 6000);
      long yes = rig.now();
      rig.signal("old", old, "TERM");
      rig.sleepUntil(Math.max(yes + 6500, downAt + 8000));
      if (rig.trouble) {
        discovery.comeBack();
      }
      Rig.sleep(3000);
      traffic.close();
      Rig.sleep(2000);
      // the old process alone: bound by what it was told
      int before = 0;
      for (Rig.Arrival arrival : rig.arrivals) {
        if (draining.contains(arrival.host()) && arrival.at() > told + Rig.DRAIN_BOUND_MILLIS
            && arrival.at() <= startedAt) {
          before++;
        }
      }
      rig.log("check", before + " request(s) after the bound before the new version was started");
      // what discovery has to tell counts for the new process 2 s after its yes: nothing before that is judged
      long bound = yes + 2000 + Rig.DRAIN_BOUND_MILLIS;
      int late = before;
      for (String name : draining) {
        late += rig.countLate(name, bound, "the proxy was told " + name + " leaving at " + told
            + ", the new process said yes at " + yes);
      }
      rig.log("check", late + " request(s) sent to draining viewer hosts after the bound");
      return late == 0;
    });
  }
}
