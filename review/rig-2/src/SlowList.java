import java.util.List;
import java.util.Map;

/** Open watches are reset and viewer hosts begin to drain; discovery is up, but its lists come slowly, in pieces. */
final class SlowList {
  private static final long LIST_MILLIS = 5000;
  private static final long TOLD_AT_LATEST_MILLIS = 6000;

  public static void main(String[] args) {
    Rig.run(args, rig -> {
      Rig.Discovery discovery = rig.new Discovery();
      Map<String, Rig.Host> hosts = rig.hosts(discovery, "h01", "h02", "h03", "h04", "h05", "h06",
          "h07", "h08", "h09", "h10", "h11", "h12");
      int port = Rig.freePort();
      String config = rig.config("config.json", "127.0.0.1:" + port, discovery.address(), discovery.known(),
          "subscribe").toString();
      Process proxy = rig.startProxy("proxy", Map.of("LB_CONFIG", config, "TMPDIR", rig.temp.toString()));
      rig.awaitPong("proxy", port, proxy, 30_000);
      AutoCloseable traffic = rig.traffic(port, 10, 2000, 1500);
      Rig.sleep(3000);
      List<String> draining = List.of("h01", "h02", "h03", "h04");
      // the hosts begin to drain between two watches, so the next one brings it
      discovery.resetWatches();
      discovery.pieceMillis = rig.trouble ? LIST_MILLIS : 0;
      draining.forEach(name -> hosts.get(name).draining = true);
      discovery.change("leaving", draining);
      long changedAt = rig.now();
      long bound = changedAt + TOLD_AT_LATEST_MILLIS + Rig.DRAIN_BOUND_MILLIS;
      rig.log("check", "changed at " + changedAt + ", told at the latest 6 s later, bound " + bound);
      rig.sleepUntil(changedAt + 20_000);
      traffic.close();
      Rig.sleep(3000);
      int late = 0;
      for (String name : draining) {
        late += rig.countLate(name, bound, "discovery has had " + name + " leaving since " + changedAt);
      }
      rig.log("check", late + " request(s) sent to draining viewer hosts after the bound");
      return late == 0;
    });
  }
}
