import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A new configuration with a lower limit on descriptors, under standing connections; then new clients come. */
final class LoweredLimit {
  private static final int STANDING = 60;
  private static final int SOCKETS_BEFORE = 256;
  private static final int SOCKETS_AFTER = 144;
  private static final long WAIT_MILLIS = 1200;
  private static final long SLACK_MILLIS = 550; // half a second after its time, and the 50 ms of sockets

  public static void main(String[] args) throws Exception {
    Rig.main(args, LoweredLimit::play);
  }

  private static boolean play(Rig rig) throws Exception {
    Rig.Directory directory = rig.new Directory();
    List<Rig.Host> hosts = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      hosts.add(rig.new Host("vh-" + i));
      directory.set(hosts.get(i), "active", 0);
    }
    String listen = "127.0.0.1:" + Rig.freePort();
    Path file = rig.temp.resolve("config.json");
    rig.writeConfig(file, Rig.config(listen, null, directory, SOCKETS_BEFORE, WAIT_MILLIS, "pure"));
    Rig.Proxy proxy = rig.new Proxy("proxy", Map.of("LB_NAME", "n0", "LB_LISTEN", listen,
        "LB_DISCOVERY", directory.address(), "LB_CONFIG", file.toString(), "TMPDIR", rig.temp.toString()));
    if (!proxy.awaitLog("serves on", 20_000)) {
      throw new Rig.NotRun("the proxy does not serve");
    }
    Rig.sleep(1500);
    List<Rig.Client> standing = new ArrayList<>();
    for (int i = 0; i < STANDING; i++) {
      standing.add(rig.new Client(listen, WAIT_MILLIS).open("c=scan-tiles,g=g" + i % 7));
      Rig.sleep(20);
    }
    standing.forEach(client -> client.await(2000));
    if (!standing.stream().allMatch(Rig.Client::isUp)) {
      throw new Rig.NotRun("not all standing clients were served");
    }
    standing.forEach(Rig.Client::chat);
    rig.writeConfig(file, Rig.config(listen, null, directory, rig.trouble ? SOCKETS_AFTER : SOCKETS_BEFORE, WAIT_MILLIS,
        "pure"));
    proxy.signal("HUP");
    if (!proxy.awaitLog("configuration read again", 5000)) {
      throw new Rig.NotRun("the configuration was not read again");
    }
    Rig.sleep(1000);
    String[] held = Path.of("/proc/" + proxy.process.pid() + "/fd").toFile().list();
    rig.say(STANDING + " clients stand; limits.sockets is now " + (rig.trouble ? SOCKETS_AFTER : SOCKETS_BEFORE)
        + "; the process holds " + (held == null ? "?" : held.length) + " descriptors");
    List<Rig.Client> late = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      late.add(rig.new Client(listen, WAIT_MILLIS).open("c=scan-tiles,g=g" + i % 7));
      Rig.sleep(200);
    }
    Rig.sleep(WAIT_MILLIS + SLACK_MILLIS);
    long answered = 0;
    long shut = 0; // "new connections may be shut unread then": allowed when descriptors run short
    long lost = 0;
    for (Rig.Client client : late) {
      long until = client.sentAt + WAIT_MILLIS + SLACK_MILLIS;
      boolean inTime = client.isAnswered() && client.answeredAt <= until;
      answered += inTime ? 1 : 0;
      shut += !inTime && client.ended && client.endedAt <= until ? 1 : 0;
      lost += !inTime && !(client.ended && client.endedAt <= until) ? 1 : 0;
    }
    long stillUp = standing.stream().filter(client -> !client.ended).count();
    rig.say("of " + late.size() + " new clients " + answered + " got their final answer in time, " + shut
        + " were shut without one, " + lost + " got neither; " + stillUp + " of " + STANDING
        + " standing clients are still up; the proxy " + (proxy.process.isAlive() ? "runs" : "has ended"));
    return lost == 0;
  }
}
