package amberhoist.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.clock.Clock;
import amberhoist.config.PlatformConfig;
import amberhoist.config.ProxyConfig;
import amberhoist.config.ProxyConfig.ConfigSources;
import amberhoist.metrics.Counters.Count;
import amberhoist.service.StubPeers.Peer;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
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

/** A new version started beside the old one, on the same address and with the same folder for the upgrade record. */
@Timeout(90)
class UpgradeScenarioTest {
  @TempDir
  Path folder;

  /** Starts a proxy with the configuration of the peers, but with its own port, management API and folder. */
  private Service start(StubPeers peers, int port) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, peers.platformConfig(peers.directory));
    return Service.start(PlatformConfig.load(Map.of("LB_CONFIG", file.toString(), "LB_LISTEN", "127.0.0.1:" + port,
        "LB_MGMT", "127.0.0.1:0", "TMPDIR", folder.toString()), new Clock()));
  }

  private static int freePort() throws Exception {
    try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return unused.getLocalPort();
    }
  }

  private static String requestStatus(Service service, String method, String path) throws Exception {
    return ManagementScenarioTest.exchange(service, method + ' ' + path + " HTTP/1.1\r\n\r\n").status();
  }

  private static JsonNode metrics(Service service) throws Exception {
    return ManagementScenarioTest.metrics(service);
  }

  private static Peer client(int port, String text) throws Exception {
    return new Peer(new Socket(InetAddress.getLoopbackAddress(), port)).send(text);
  }

  /** Establishes {@code count} connections from clients to the given provider. */
  private static List<Peer> establish(StubPeers peers, int port, int count, int provider) throws Exception {
    List<Peer> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      clients.add(client(port, StubPeers.openRequest("s" + i, 9000, ",at=p" + provider)));
      Peer providerEnd = peers.acceptAtProvider(provider);
      providerEnd.readLine();
      providerEnd.send("UP r\r\n");
      assertEquals("UP r", clients.get(i).readLine());
    }
    return clients;
  }

  /** Guards against a new version that sends to providers that the old one has been told are leaving. */
  @Test
  void aSuccessorServesByTheListOfTheOldProcessUntilTheDirectoryAnswers() throws Exception {
    try (StubPeers peers = new StubPeers(3)) {
      int port = freePort();
      peers.acceptWatch(new String[1]); // of the proxy of the peers, which is not played here
      Service old = start(peers, port);
      Peer watch = peers.acceptWatchAndSend(peers.providerListJson(2, true, "leaving"));
      DirectoryScenarioTest.awaitCount(old, Count.DIRECTORY_NEWS, 1);
      Service successor = start(peers, port);
      peers.acceptWatch(new String[1]); // and is not answered
      old.kill(); // from now on only the successor accepts
      watch.socket.close();
      for (int i = 0; i < 6; i++) {
        client(port, StubPeers.openRequest("k" + i, 2000, ""));
      }
      DirectoryScenarioTest.awaitCount(successor, Count.CALLS, 6);
      peers.providers.get(0).setSoTimeout(300);
      assertThrows(java.net.SocketTimeoutException.class, () -> peers.acceptAtProvider(0));
      successor.kill();
    }
  }

  /** Guards against a request that runs a second time when its id comes to the other process of an upgrade. */
  @Test
  void anIdThatMayHaveRunAtTheOldProcessIsRefusedByTheNewOne() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      int port = freePort();
      Service old = start(peers, port);
      Peer leaving = client(port, StubPeers.openRequest("a", 2000, ""));
      Peer attempt = peers.acceptAtProvider(0);
      attempt.readLine();
      leaving.socket.close();
      assertEquals("FIN", attempt.readLine());
      Service successor = start(peers, port);
      old.stop(); // from now on only the successor accepts
      assertEquals("ERR", client(port, StubPeers.openRequest("a", 2000, "")).readLine());
      assertEquals(0, successor.count(Count.CALLS));
      successor.kill();
    }
  }

  /** Guards against a proxy that does not start because it cannot use the file of ids that another version has left. */
  @Test
  void servesWithoutTheSharedIdsIfTheirFileHasAnotherForm() throws Exception {
    Files.write(folder.resolve("amberhoist.ids"), new byte[100]);
    try (StubPeers peers = new StubPeers(1)) {
      int port = freePort();
      Service service = start(peers, port);
      client(port, StubPeers.openRequest("a", 2000, ""));
      assertTrue(peers.acceptAtProvider(0).readLine().contains(" a "));
      assertEquals("ERR", client(port, StubPeers.openRequest("a", 2000, "")).readLine());
      service.kill();
    }
  }

  @Test
  void stopMovesClientsAtOnceToASuccessorThatListensAlone() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      int port = freePort();
      Service old = start(peers, port);
      List<Peer> clients = establish(peers, port, 30, 0);
      Service successor = start(peers, port);
      assertEquals("200", requestStatus(successor, "GET", "/v1/readyz"));
      Thread stop = new Thread(old::stop);
      stop.start();
      for (Peer client : clients) {
        assertEquals("MOVE", client.readLine());
        assertEquals("FIN", client.readLine());
        client.socket.close();
        Peer reconnected = client(port, "PING\r\n"); // the old listener is closed or still serves
        assertEquals("PONG", reconnected.readLine());
        reconnected.socket.close();
      }
      stop.join();
      for (int i = 0; i < 20; i++) {
        assertEquals("PONG", client(port, "PING\r\n").readLine());
      }
      successor.kill();
    }
  }

  /** A successor without affinity entries would spread a group's clients over providers that served none of them. */
  @Test
  void clientsReturnThroughTheSuccessorToTheSameProvider() throws Exception {
    try (StubPeers peers = new StubPeers(4)) {
      int port = freePort();
      Service old = start(peers, port);
      List<Peer> clients = establish(peers, port, 12, 3);
      Service successor = start(peers, port);
      Thread stop = new Thread(old::stop);
      stop.start();
      for (Peer client : clients) {
        assertEquals("MOVE", client.readLine());
      }
      stop.join();
      for (int i = 0; i < 12; i++) {
        client(port, StubPeers.openRequest("s" + i, 3000, ",again=1"));
        Peer providerEnd = peers.acceptAtProvider(3);
        String line = providerEnd.readLine();
        providerEnd.send("UP r\r\n");
        assertTrue(line.contains(" s" + i + " "), line);
      }
      successor.kill();
    }
  }

  @Test
  void suspensionsAreSharedByBothProcessesAndASuccessor() throws Exception {
    try (StubPeers peers = new StubPeers(2)) {
      int port = freePort();
      Service old = start(peers, port);
      assertEquals("200", requestStatus(old, "PUT", "/v1/viewer-hosts/p0/suspend"));
      Service successor = start(peers, port);
      assertEquals(1, metrics(successor).path("viewer_hosts_excluded").asInt(), "known from the start");
      assertEquals("200", requestStatus(successor, "PUT", "/v1/viewer-hosts/p1/suspend"));
      while (metrics(old).path("viewer_hosts_excluded").asInt() != 2) {
        Thread.onSpinWait();
      }
      assertEquals("200", requestStatus(old, "PUT", "/v1/viewer-hosts/p0/resume"));
      while (metrics(successor).path("viewer_hosts_excluded").asInt() != 1) {
        Thread.onSpinWait();
      }
      old.kill();
      successor.kill();
      Service last = start(peers, port);
      assertEquals(1, metrics(last).path("viewer_hosts_excluded").asInt());
      last.kill();
    }
  }

  @Test
  void rejectsASuspensionThatCannotBeStored() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Service service = start(peers, freePort());
      Files.writeString(folder.resolve("amberhoist.handover"), "{\"version\":99}");
      assertEquals("503", requestStatus(service, "PUT", "/v1/viewer-hosts/p0/suspend"));
      assertEquals(0, metrics(service).path("viewer_hosts_excluded").asInt());
      service.kill();
    }
  }

  /**
   * Guards against clients that a process accepts and then cuts off because it cannot start. Both addresses are taken
   * here: the one of the management API must be tried first.
   */
  @Test
  void takesTheManagementAddressBeforeItListensForClients() throws Exception {
    try (StubPeers peers = new StubPeers(1); ServerSocket taken = StubPeers.listen()) {
      Path file = folder.resolve("config.json");
      Files.writeString(file, peers.platformConfig(peers.directory));
      String address = "127.0.0.1:" + taken.getLocalPort();
      PlatformConfig config = PlatformConfig.load(Map.of("LB_CONFIG", file.toString(), "LB_LISTEN", address, "LB_MGMT",
          address, "TMPDIR", folder.toString()), new Clock());
      IOException refused = assertThrows(IOException.class, () -> Service.start(config));
      assertTrue(refused.getMessage().startsWith("cannot listen for management requests on"), refused.getMessage());
      assertFalse(Files.exists(folder.resolve("amberhoist.handover")), "nor has it joined the other processes");
    }
  }

  /** The same for the admin socket, which an old process with the same operator's file still has. */
  @Test
  void takesTheAdminSocketBeforeItListensForClients() throws Exception {
    try (StubPeers peers = new StubPeers(1); ServerSocket taken = StubPeers.listen()) {
      Path file = folder.resolve("config.json");
      Files.writeString(file, peers.platformConfig(peers.directory));
      String address = "127.0.0.1:" + taken.getLocalPort();
      ProxyConfig config = ProxyConfig.load(new ConfigSources(null, Map.of("admin.listen", address),
          Map.of("LB_CONFIG", file.toString(), "LB_LISTEN", address)), new Clock());
      IOException refused = assertThrows(IOException.class, () -> Service.start(config));
      assertTrue(refused.getMessage().startsWith("cannot listen for status requests on"), refused.getMessage());
    }
  }

  @Test
  void startsAlthoughTheFolderDoesNotExist() throws Exception {
    try (StubPeers peers = new StubPeers(1)) {
      Path file = folder.resolve("config.json");
      Files.writeString(file, peers.platformConfig(peers.directory));
      Service service = Service.start(PlatformConfig.load(Map.of("LB_CONFIG", file.toString(), "LB_MGMT", "127.0.0.1:0",
          "TMPDIR", folder.resolve("nowhere").toString()), new Clock()));
      assertEquals("200", requestStatus(service, "GET", "/v1/readyz"));
      service.kill();
    }
  }
}
