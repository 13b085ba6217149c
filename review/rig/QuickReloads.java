import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** New configurations in quick succession, each of which moves a slow directory; a viewer host begins to drain. */
final class QuickReloads {
  private static final long WAIT_MILLIS = 1200;
  private static final int RELOADS = 3;
  private static final long BETWEEN_MILLIS = 2400;
  private static final long ANSWER_MILLIS = 2800; // a call fails at 3 s
  private static final long TOLD_MILLIS = 6000; // at the latest, after the directory had the change
  private static final long GRACE_MILLIS = 500 + 50; // rules.stop-sending-within, and 50 ms for sockets

  public static void main(String[] args) throws Exception {
    Rig.main(args, QuickReloads::play);
  }

  private static boolean play(Rig rig) throws Exception {
    Rig.Directory directory = rig.new Directory();
    List<Rig.Host> hosts = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      hosts.add(rig.new Host("vh-" + i));
      directory.set(hosts.get(i), "active", 0);
    }
    Rig.Host leaving = hosts.get(0);
    String listen = "127.0.0.1:" + Rig.freePort();
    Path file = rig.temp.resolve("config.json");
    rig.writeConfig(file, Rig.config(listen, null, directory, 1024, WAIT_MILLIS, "pure"));
    Rig.Proxy proxy = rig.new Proxy("proxy", Map.of("LB_NAME", "n0", "LB_LISTEN", listen,
        "LB_DISCOVERY", directory.address(), "LB_CONFIG", file.toString(), "TMPDIR", rig.temp.toString()));
    if (!proxy.awaitLog("serves on", 20_000)) {
      throw new Rig.NotRun("the proxy does not serve");
    }
    Rig.sleep(3000);
    directory.answerDelayMillis = ANSWER_MILLIS;
    Rig.Server current = directory;
    long start = rig.millis();
    long drainAt = -1;
    int reloads = 0;
    List<Rig.Client> clients = new ArrayList<>();
    while (rig.millis() < start + 11_000) {
      if (reloads < (rig.trouble ? RELOADS : 1) && rig.millis() >= start + reloads * BETWEEN_MILLIS) {
        Rig.Server next = directory.furtherAddress();
        rig.writeConfig(file, Rig.config(listen, null, directory, next.address(), 1024, WAIT_MILLIS, "pure"));
        proxy.signal("HUP");
        rig.note("configuration " + ++reloads + ": directory at " + next.address());
        current.retire(1500);
        current = next;
      }
      if (drainAt < 0 && rig.millis() > start + 300) {
        drainAt = rig.millis();
        directory.set(leaving, "leaving", 0);
      }
      clients.add(rig.new Client(listen, WAIT_MILLIS).open("c=scan-tiles,g=g" + clients.size() % 7));
      Rig.sleep(20);
      if (clients.size() > 10) {
        clients.remove(0).close();
      }
    }
    long late = 0;
    long last = -1;
    synchronized (leaving.openedAt) {
      for (long at : leaving.openedAt.values()) {
        late += at > drainAt + TOLD_MILLIS + GRACE_MILLIS ? 1 : 0;
        last = Math.max(last, at);
      }
    }
    rig.say(leaving.name + " drained at " + drainAt + " ms; the last request reached it " + (last - drainAt)
        + " ms later; " + late + " requests over " + (TOLD_MILLIS + GRACE_MILLIS) + " ms later");
    return late == 0;
  }
}
