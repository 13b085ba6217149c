import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Upgrades one after another under load. While each new version starts, an operator suspends one viewer host at the
 * process that serves, at a random moment of the second half of that start. Nothing new may go there until the call back.
 */
final class LostSuspension {
  private static final long WAIT_MILLIS = 800;
  private static final long GRACE_MILLIS = 500 + 50; // rules.stop-sending-within, and 50 ms for sockets
  private static final long END_MILLIS = 95_000;
  private static final int FIRST_STARTUP_MILLIS = 500;

  private static volatile boolean done;

  public static void main(String[] args) throws Exception {
    Rig.main(args, LostSuspension::play);
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
    rig.writeConfig(file, Rig.config(listen, null, directory, 1024, WAIT_MILLIS, "pure"));
    Map<String, String> environment = Map.of("LB_NAME", "n0", "LB_LISTEN", listen,
        "LB_DISCOVERY", directory.address(), "LB_CONFIG", file.toString(), "TMPDIR", rig.temp.toString());
    String mgmt = "127.0.0.1:" + Rig.freePort();
    Rig.Proxy serving = rig.new Proxy("process 0", with(environment, mgmt));
    awaitYes(rig, mgmt);
    Rig.sleep(1000);
    startLoad(rig, listen);
    Random random = new Random();
    int broken = 0;
    int count = 0;
    int startupMillis = FIRST_STARTUP_MILLIS; // of the process before, until its yes
    while (rig.millis() < END_MILLIS) {
      count++;
      Rig.Host host = hosts.get(count % hosts.size());
      String nextMgmt = "127.0.0.1:" + Rig.freePort();
      Rig.Proxy next = rig.trouble ? rig.new Proxy("process " + count, with(environment, nextMgmt)) : null;
      long startAt = rig.millis();
      int moment = startupMillis / 2 + random.nextInt(startupMillis / 2);
      Rig.sleep(moment);
      callUntilYes(rig, mgmt, host, "suspend");
      long yesAt = rig.millis();
      if (rig.trouble) {
        awaitYes(rig, nextMgmt);
        startupMillis = (int) Math.max(100, rig.millis() - startAt);
        serving.signal("TERM");
        mgmt = nextMgmt;
      }
      Rig.sleep(yesAt + GRACE_MILLIS + 800 - rig.millis());
      long callBackAt = rig.millis(); // before the call, so that nothing after it counts
      callUntilYes(rig, mgmt, host, "resume");
      List<Long> late = new ArrayList<>();
      synchronized (host.openedAt) {
        host.openedAt.values().stream().filter(at -> at > yesAt + GRACE_MILLIS && at < callBackAt).forEach(late::add);
        host.openedAt.clear();
      }
      if (!late.isEmpty()) {
        broken++;
        rig.say("upgrade " + count + ": " + host.name + " was suspended at " + yesAt + " ms, " + moment
            + " ms after the start of the new process, and got " + late.size() + " requests from "
            + (late.get(0) - yesAt) + " ms to " + (late.get(late.size() - 1) - yesAt) + " ms after the yes");
      }
      if (rig.trouble) {
        for (int i = 0; serving.status < 0 && i < 50; i++) {
          Rig.sleep(100);
        }
        serving = next;
      }
    }
    done = true;
    rig.say(broken + " of " + count + " suspensions were not kept");
    return broken == 0;
  }

  /** Calls until the answer is yes: an operator tries again after a no. */
  private static void callUntilYes(Rig rig, String mgmt, Rig.Host host, String what) {
    for (int i = 0; i < 10; i++) {
      int status = rig.call(mgmt, "PUT", "/v1/viewer-hosts/" + host.name + "/" + what);
      rig.note("operator: " + what + " " + host.name + " at " + mgmt + ", answer " + status);
      if (status == 200) {
        return;
      }
      Rig.sleep(200);
    }
    throw new Rig.NotRun("no yes to " + what + " " + host.name);
  }

  /** Sixty clients a second, each of which leaves a little after its answer. */
  private static void startLoad(Rig rig, String listen) {
    Rig.daemon("load", () -> {
      List<Rig.Client> clients = new ArrayList<>();
      for (int i = 0; !done; i++) {
        try {
          clients.add(rig.new Client(listen, WAIT_MILLIS).open("c=scan-tiles,g=g" + i % 13));
        } catch (java.io.IOException refused) {
          rig.note("a client was not let in: " + refused.getMessage());
        }
        Rig.sleep(16);
        if (clients.size() > 15) {
          clients.remove(0).close();
        }
      }
    });
  }

  private static void awaitYes(Rig rig, String mgmt) {
    long until = rig.millis() + 6000;
    while (rig.call(mgmt, "GET", "/v1/readyz") != 200) {
      if (rig.millis() > until) {
        throw new Rig.NotRun("the process was not ready within 6 s");
      }
      Rig.sleep(20);
    }
    rig.note("readyz: yes from " + mgmt);
  }

  static Map<String, String> with(Map<String, String> environment, String mgmt) {
    Map<String, String> all = new HashMap<>(environment);
    all.put("LB_MGMT", mgmt);
    return all;
  }
}
