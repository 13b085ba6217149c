import java.util.List;
import java.util.Map;

/** Lists are pushed; discovery is down for some seconds, in which viewer hosts begin to drain, and comes back. */
final class PushedReturn {
  public static void main(String[] args) {
    Rig.run(args, rig -> {
      Rig.Discovery discovery = rig.new Discovery();
      Map<String, Rig.Host> hosts = rig.hosts(discovery, "h01", "h02", "h03", "h04", "h05", "h06",
          "h07", "h08", "h09", "h10", "h11", "h12", "h13", "h14");
      int port = Rig.freePort();
      String config = rig.config("config.json", "127.0.0.1:" + port, discovery.address(), discovery.known(),
          "automatic").toString();
      Process proxy = rig.startProxy("proxy", Map.of("LB_CONFIG", config, "TMPDIR", rig.temp.toString()));
      rig.awaitPong("proxy", port, proxy, 30_000);
      AutoCloseable traffic = rig.traffic(port, 15, 2000, 1500);
      Rig.sleep(3000);
      List<String> draining = List.of("h01", "h02", "h03", "h04", "h05", "h06", "h07", "h08");
      long downAt = rig.now();
      if (rig.trouble) {
        discovery.goDown();
        rig.sleepUntil(downAt + 8000);
        // back once a call has just failed, as good a moment as any other
        long failed = discovery.failedCalls.get();
        while (discovery.failedCalls.get() == failed && rig.now() < downAt + 12_000) {
          Rig.sleep(2);
        }
        Rig.sleep(20);
        discovery.comeBack();
      } else {
        rig.sleepUntil(downAt + 8000);
      }
      // viewer hosts begin to drain at its return
      draining.forEach(name -> hosts.get(name).draining = true);
      discovery.change("leaving", draining);
      long toldAt = rig.now();
      rig.log("check", "told at " + toldAt + ", bound " + (toldAt + Rig.DRAIN_BOUND_MILLIS));
      Rig.sleep(4000);
      traffic.close();
      Rig.sleep(3000);
      int late = 0;
      for (String name : draining) {
        late += rig.countLate(name, toldAt + Rig.DRAIN_BOUND_MILLIS, "told " + name + " leaving at " + toldAt);
      }
      rig.log("check", late + " request(s) sent to draining viewer hosts after the bound");
      return late == 0;
    });
  }
}
