import java.util.List;
import java.util.Map;

/**
 * A connection that was open at a viewer host before the run is handed to a proxy that has just started. The list in its
 * configuration is out of date and lacks that viewer host, and discovery is crowded: calls wait in turn.
 */
final class HandoverGivenUp {
  private static final long WAIT_MILLIS = 2900; // the site's calls may wait 3 s
  private static final long STOP_SENDING_MILLIS = 500;
  private static final long LOST_AFTER_MILLIS = 40_000;

  public static void main(String[] args) {
    Rig.run(args, rig -> {
      Rig.Discovery discovery = rig.new Discovery();
      rig.hosts(discovery, "h1", "h2");
      String known = discovery.known();
      Rig.Host third = rig.hosts(discovery, "h3").get("h3");
      discovery.change("active", List.of("h3"));
      int port = Rig.freePort();
      String config = rig.config("config.json", "127.0.0.1:" + port, discovery.address(), known, "subscribe",
          STOP_SENDING_MILLIS).toString();
      discovery.answerDelayMillis = rig.trouble ? WAIT_MILLIS : 0;
      Process proxy = rig.startProxy("proxy", Map.of("LB_CONFIG", config, "TMPDIR", rig.temp.toString()));
      rig.awaitPong("proxy", port, proxy, 30_000);
      long start = rig.now();
      Rig.Client client = rig.startHandover(port, "k0", "h3", LOST_AFTER_MILLIS);
      Rig.Client other = rig.startHandover(port, "k1", "h1", LOST_AFTER_MILLIS);
      rig.sleepUntil(start + 2 * WAIT_MILLIS); // the proxy has the list by now
      while (rig.now() < start + LOST_AFTER_MILLIS + 1000 && (client.answer == null && client.end == null)) {
        Rig.sleep(50);
      }
      rig.log("check", "the connection at h1: " + other.answer + "; the one at h3: " + client.answer + " after "
          + (client.answeredAt - client.sentAt) + " ms; h3 is up: " + !third.server.isClosed());
      return client.answer != null && client.answer.startsWith("UP ");
    });
  }
}
