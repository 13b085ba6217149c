import java.util.List;
import java.util.Map;

/**
 * Open watches are reset and viewer hosts begin to drain. Discovery is up but crowded: each call waits its turn, for less
 * time than the site lets it wait, and is then answered in pieces.
 */
final class SlowList {
  private static final long WAIT_MILLIS = 2900; // the site's calls may wait 3 s
  private static final long PIECES_MILLIS = 1500;
  private static final long STOP_SENDING_MILLIS = 500;
  private static final long TOLD_AT_LATEST_MILLIS = 6000;

  public static void main(String[] args) {
    Rig.run(args, rig -> {
      Rig.Discovery discovery = rig.new Discovery();
      Map<String, Rig.Host> hosts = rig.hosts(discovery, "h01", "h02", "h03", "h04", "h05", "h06",
          "h07", "h08", "h09", "h10", "h11", "h12");
      int port = Rig.freePort();
      String config = rig.config("config.json", "127.0.0.1:" + port, discovery.address(), discovery.known(),
          "subscribe", STOP_SENDING_MILLIS).toString();
      Process proxy = rig.startProxy("proxy", Map.of("LB_CONFIG", config, "TMPDIR", rig.temp.toString()));
      rig.awaitPong("proxy", port, proxy, 30_000);
      AutoCloseable traffic = rig.traffic(port, 10, 2000, 1500);
      Rig.sleep(3000);
      List<String> draining = List.of("h01", "h02", "h03", "h04");
      // the hosts begin to drain between two watches, so the next one brings it
      discovery.resetWatches();
      if (rig.trouble) {
        discovery.answerDelayMillis = WAIT_MILLIS;
        discovery.pieceMillis = PIECES_MILLIS;
      }
      draining.forEach(name -> hosts.get(name).draining = true);
      discovery.change("leaving", draining);
      long changedAt = rig.now();
      long bound = changedAt + TOLD_AT_LATEST_MILLIS + STOP_SENDING_MILLIS + Rig.SOCKET_SLACK_MILLIS;
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
