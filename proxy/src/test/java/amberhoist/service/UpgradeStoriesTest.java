package amberhoist.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.clock.Clock;
import amberhoist.config.Config;
import amberhoist.service.Peers.Peer;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Stories of a new version started beside the old one, on the same address and with the same folder. */
@Timeout(90)
class UpgradeStoriesTest {
  @TempDir
  Path folder;

  /** One of the two: its configuration is that of the peers, but for where it listens. */
  private Service start(Peers peers, int port) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, peers.config(peers.directory));
    return Service.start(Config.load(Map.of("LB_CONFIG", file.toString(), "LB_LISTEN", "127.0.0.1:" + port,
        "LB_MGMT", "127.0.0.1:0", "TMPDIR", folder.toString()), new Clock()));
  }

  private static int freePort() throws Exception {
    try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return any.getLocalPort();
    }
  }

  private static String call(Service service, String method, String path) throws Exception {
    return ManagementStoriesTest.call(service, method + ' ' + path + " HTTP/1.1\r\n\r\n").status();
  }

  private static JsonNode figures(Service service) throws Exception {
    return ManagementStoriesTest.figures(service);
  }

  private static Peer client(int port, String text) throws Exception {
    return new Peer(new Socket(InetAddress.getLoopbackAddress(), port)).send(text);
  }

  /** So many clients, served by this provider. */
  private static List<Peer> standing(Peers peers, int port, int count, int provider) throws Exception {
    List<Peer> standing = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      standing.add(client(port, Peers.opening("s" + i, 9000, ",at=p" + provider)));
      Peer there = peers.provider(provider);
      there.line();
      there.send("UP r\r\n");
      assertEquals("UP r", standing.get(i).line());
    }
    return standing;
  }

  @Test
  void clientsAreMovedAtOnceToASuccessorAndTheListenerIsItsAlone() throws Exception {
    try (Peers peers = new Peers(1)) {
      int port = freePort();
      Service old = start(peers, port);
      List<Peer> standing = standing(peers, port, 30, 0);
      Service fresh = start(peers, port);
      assertEquals("200", call(fresh, "GET", "/v1/readyz"));
      Thread stop = new Thread(old::stop);
      stop.start();
      for (Peer client : standing) {
        assertEquals("MOVE", client.line());
        assertEquals("FIN", client.line());
        client.socket.close();
        Peer again = client(port, "PING\r\n"); // the listener of the old one is closed, or serves
        assertEquals("PONG", again.line());
        again.socket.close();
      }
      stop.join();
      for (int i = 0; i < 20; i++) {
        assertEquals("PONG", client(port, "PING\r\n").line());
      }
      fresh.kill();
    }
  }

  /** Guards against a successor that spreads the clients of a group over providers that had none of it. */
  @Test
  void clientsComeBackThroughTheSuccessorToWhereTheyStood() throws Exception {
    try (Peers peers = new Peers(4)) {
      int port = freePort();
      Service old = start(peers, port);
      List<Peer> standing = standing(peers, port, 12, 3);
      Service fresh = start(peers, port);
      Thread stop = new Thread(old::stop);
      stop.start();
      for (Peer client : standing) {
        assertEquals("MOVE", client.line());
      }
      stop.join();
      for (int i = 0; i < 12; i++) {
        client(port, Peers.opening("s" + i, 3000, ",again=1"));
        Peer there = peers.provider(3);
        String line = there.line();
        there.send("UP r\r\n");
        assertTrue(line.contains(" s" + i + " "), line);
      }
      fresh.kill();
    }
  }

  @Test
  void aCallAtEitherDoorCountsForBothAndForWhoComesAfter() throws Exception {
    try (Peers peers = new Peers(2)) {
      int port = freePort();
      Service old = start(peers, port);
      assertEquals("200", call(old, "PUT", "/v1/viewer-hosts/p0/suspend"));
      Service fresh = start(peers, port);
      assertEquals(1, figures(fresh).path("viewer_hosts_excluded").asInt(), "known from the start on");
      assertEquals("200", call(fresh, "PUT", "/v1/viewer-hosts/p1/suspend"));
      while (figures(old).path("viewer_hosts_excluded").asInt() != 2) {
        Thread.onSpinWait();
      }
      assertEquals("200", call(old, "PUT", "/v1/viewer-hosts/p0/resume"));
      while (figures(fresh).path("viewer_hosts_excluded").asInt() != 1) {
        Thread.onSpinWait();
      }
      old.kill();
      fresh.kill();
      Service last = start(peers, port);
      assertEquals(1, figures(last).path("viewer_hosts_excluded").asInt());
      last.kill();
    }
  }

  @Test
  void aSuspensionThatCannotBeKeptGetsANoAndDoesNotHold() throws Exception {
    try (Peers peers = new Peers(1)) {
      Service service = start(peers, freePort());
      Files.writeString(folder.resolve("amberhoist.handover"), "{\"version\":99}");
      assertEquals("503", call(service, "PUT", "/v1/viewer-hosts/p0/suspend"));
      assertEquals(0, figures(service).path("viewer_hosts_excluded").asInt());
      service.kill();
    }
  }

  @Test
  void aFolderThatIsNotThereCostsNoStart() throws Exception {
    try (Peers peers = new Peers(1)) {
      Path file = folder.resolve("config.json");
      Files.writeString(file, peers.config(peers.directory));
      Service service = Service.start(Config.load(Map.of("LB_CONFIG", file.toString(), "LB_MGMT", "127.0.0.1:0",
          "TMPDIR", folder.resolve("nowhere").toString()), new Clock()));
      assertEquals("200", call(service, "GET", "/v1/readyz"));
      service.kill();
    }
  }
}
