import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-ins of the platform for the cases of this review: directory, viewer hosts, clients, and the proxy as a process. */
final class Rig implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** Thrown when a case could not run as intended; says nothing about the rule. */
  static final class NotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    NotRun(String why) {
      super(why);
    }
  }

  interface Case {
    /** Plays the case; returns whether the rule held. */
    boolean play(Rig rig) throws Exception;
  }

  private final BufferedWriter record;
  private final long startNanos = System.nanoTime();
  private final List<AutoCloseable> parts = new ArrayList<>();
  final Path root;
  final Path temp;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  private Rig(Path folder) throws IOException {
    root = folder.toAbsolutePath().getParent().getParent();
    record = Files.newBufferedWriter(folder.resolve("record.txt"));
    temp = Files.createTempDirectory("review");
  }

  /** Runs a case whose folder is the first argument, and exits with the status that the case calls for. */
  static void main(String[] args, Case play) throws Exception {
    int status = NOT_RUN;
    Rig rig = new Rig(Path.of(args[0]));
    Thread guard = new Thread(() -> {
      sleep(115_000);
      rig.say("the case took too long");
      rig.close();
      Runtime.getRuntime().halt(NOT_RUN);
    });
    guard.setDaemon(true);
    guard.start();
    Thread killer = new Thread(rig::killProcesses);
    Runtime.getRuntime().addShutdownHook(killer);
    try {
      rig.say("trouble: " + (rig.trouble ? "yes" : "no"));
      status = play.play(rig) ? HELD : BROKEN;
    } catch (NotRun fault) {
      rig.say("not run: " + fault.getMessage());
    } catch (Exception fault) {
      rig.say("not run: " + fault);
      fault.printStackTrace();
    }
    rig.say("exit status " + status);
    rig.close();
    Runtime.getRuntime().halt(status);
  }

  /** Milliseconds since the start of the case. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line to the record and to standard output. */
  void say(String text) {
    System.out.println(note(text));
  }

  /** Writes a line to the record only. */
  synchronized String note(String text) {
    String line = String.format("%7d ms  %s", millis(), text);
    try {
      record.write(line + "\n");
      record.flush();
    } catch (IOException closed) {
      // after the end
    }
    return line;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  static void daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 1 << 18);
    thread.setDaemon(true);
    thread.start();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private synchronized void killProcesses() {
    for (AutoCloseable part : parts) {
      if (part instanceof Proxy proxy) {
        proxy.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    killProcesses();
    for (AutoCloseable part : parts) {
      try {
        part.close();
      } catch (Exception ignored) {
        // the process ends anyway
      }
    }
    try (var files = Files.walk(temp)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException ignored) {
      // left to the system
    }
  }

  /** A server on a loopback port with a thread for each connection. */
  abstract class Server implements AutoCloseable {
    final ServerSocket server;
    final List<Socket> open = new ArrayList<>();
    final int port;

    Server() throws IOException {
      this(0);
    }

    Server(int port) throws IOException {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress("127.0.0.1", port), 1024);
      this.port = server.getLocalPort();
      synchronized (Rig.this) {
        parts.add(this);
      }
      daemon("accept", () -> {
        while (!server.isClosed()) {
          try {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            synchronized (open) {
              open.add(socket);
            }
            daemon("peer", () -> {
              try (socket) {
                handle(socket);
              } catch (IOException | InterruptedException ended) {
                // the other side has ended it
              } finally {
                synchronized (open) {
                  open.remove(socket);
                }
              }
            });
          } catch (IOException closed) {
            return;
          }
        }
      });
    }

    abstract void handle(Socket socket) throws IOException, InterruptedException;

    String address() {
      return "127.0.0.1:" + port;
    }

    /** Accepts no new connection from now on, and closes the open ones after this time. */
    void retire(long millis) throws IOException {
      server.close();
      daemon("retire", () -> {
        Rig.sleep(millis);
        try {
          close();
        } catch (IOException ignored) {
          // closed all the same
        }
      });
    }

    @Override
    public void close() throws IOException {
      server.close();
      synchronized (open) {
        for (Socket socket : open) {
          socket.close();
        }
      }
    }
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
      }
      line.append((char) next);
    }
    return null;
  }

  static void send(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** The directory: whole list and watches, as the protocol page describes them. */
  final class Directory extends Server {
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final TreeMap<Integer, List<String>> changes = new TreeMap<>();
    int index = 1;
    /** Until when calls have to wait their turn; one that would wait longer than the limit fails at the limit. */
    volatile long crowdedUntilMillis;
    static final long CALL_TIMEOUT_MILLIS = 3000;
    /** How long each call waits at least before the first line of its answer. */
    volatile long answerDelayMillis;

    Directory() throws IOException {
      super();
    }

    /** A further address of the same service. */
    Server furtherAddress() throws IOException {
      return new Server() {
        @Override
        void handle(Socket socket) throws IOException, InterruptedException {
          Directory.this.handle(socket);
        }
      };
    }

    /** Sets the state of a viewer host, and tells it to all watches. */
    synchronized void set(Host host, String status, long sinceMillis) {
      String entry = host.entry(status, sinceMillis);
      index++;
      if (status.equals("left")) {
        entries.remove(host.name);
      } else {
        entries.put(host.name, entry);
      }
      changes.put(index, List.of(entry));
      note("directory: " + host.name + " is " + status + ", version " + index);
      notifyAll();
    }

    synchronized String list() {
      return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values()) + "]}";
    }

    private void chunk(Socket socket, String line) throws IOException {
      send(socket, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    @Override
    void handle(Socket socket) throws IOException, InterruptedException {
      InputStream in = socket.getInputStream();
      String request = readLine(in);
      for (String header = request; header != null && !header.isEmpty(); header = readLine(in)) {
        // headers are ignored
      }
      if (request == null) {
        return;
      }
      if (!request.contains("follow=1")) {
        String body = list();
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        return;
      }
      int since = Integer.parseInt(request.replaceFirst(".*since=([0-9]+).*", "$1"));
      note("directory: asked for a watch since " + since + " at port " + socket.getLocalPort());
      long turn = Math.max(answerDelayMillis, crowdedUntilMillis - millis());
      Thread.sleep(Math.min(turn, CALL_TIMEOUT_MILLIS));
      if (turn > CALL_TIMEOUT_MILLIS) {
        note("directory: 503, the call has waited too long");
        send(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
      }
      send(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
      int sent;
      String first;
      synchronized (this) {
        first = since == index ? "" : list();
        sent = index;
      }
      note("directory: answers the watch since " + since + " with version " + sent);
      chunk(socket, first);
      while (true) {
        String line = "";
        synchronized (this) {
          if (sent == index) {
            wait(2000);
          }
          if (sent != index) {
            List<String> changed = new ArrayList<>();
            changes.tailMap(sent, false).values().forEach(changed::addAll);
            sent = index;
            line = "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + String.join(",", changed) + "]}";
          }
        }
        chunk(socket, line);
      }
    }
  }

  /** A viewer host: answers each first line with UP and sends each further line back. */
  class Host extends Server {
    final String name;
    final AtomicInteger upGiven = new AtomicInteger();
    final Map<String, Long> openedAt = new LinkedHashMap<>(); // by id of the first line

    Host(String name) throws IOException {
      this.name = name;
    }

    String entry(String status, long sinceMillis) {
      return "{\"name\":\"" + name + "\",\"address\":\"" + address() + "\",\"zone\":\"here\",\"type\":\"toy\","
          + "\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
    }

    /** Called with each first line, once its last byte has come. */
    void onOpen(String id) {
      synchronized (openedAt) {
        openedAt.put(id, millis());
      }
    }

    @Override
    void handle(Socket socket) throws IOException, InterruptedException {
      InputStream in = socket.getInputStream();
      String line = readLine(in);
      if (line == null) {
        return;
      }
      if (!line.startsWith("OPEN ")) {
        send(socket, line.equals("PING") || line.equals("STATS") ? "NO\r\n" : "SYNTAX\r\n");
        note(name + ": " + line);
        return;
      }
      String id = line.split(" ")[1];
      note(name + ": " + line);
      onOpen(id);
      send(socket, "UP " + name + "-" + upGiven.incrementAndGet() + "\r\n");
      for (line = readLine(in); line != null; line = readLine(in)) {
        send(socket, line + "\r\n");
      }
    }
  }

  static final AtomicLong ids = new AtomicLong(0x1000_0000L + (System.nanoTime() & 0xffffff) * 4096);

  /** A client: one first line, its answer, then a line every two seconds until it is ended. */
  final class Client implements AutoCloseable {
    final String id = Long.toHexString(ids.incrementAndGet());
    final Socket socket = new Socket();
    final long waitMillis;
    volatile long sentAt = -1;
    volatile long answeredAt = -1;
    volatile String answer; // null while there is none
    volatile boolean ended; // by the other side
    volatile String lastLine; // the last line that the proxy sent before the end
    volatile long endedAt = -1;
    volatile boolean leaving; // the client ends it itself

    Client(String address, long waitMillis) throws IOException {
      this.waitMillis = waitMillis;
      socket.setTcpNoDelay(true);
      String[] parts = address.split(":");
      socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 3000);
    }

    /** Sends the first line. */
    Client open(String fields) throws IOException {
      sentAt = millis();
      send(socket, "OPEN " + id + " k" + id + " " + fields + ",d=" + waitMillis + "\r\n");
      note("client " + id + ": sent, waits " + waitMillis + " ms");
      daemon("client", () -> {
        try {
          InputStream in = socket.getInputStream();
          String first = readLine(in);
          answeredAt = millis();
          answer = first == null ? "(end without an answer)" : first;
          note("client " + id + ": " + answer + " after " + (answeredAt - sentAt) + " ms");
          for (String line = first; line != null; line = readLine(in)) {
            lastLine = line;
          }
        } catch (IOException fault) {
          if (answer == null && !leaving) {
            answer = "(" + fault.getMessage() + ")";
            answeredAt = millis();
            note("client " + id + ": " + answer);
          }
        }
        endedAt = millis();
        ended = true;
        if (isUp() && !leaving) {
          note("client " + id + ": ended after " + lastLine);
        }
      });
      return this;
    }

    boolean isUp() {
      return answer != null && answer.startsWith("UP ");
    }

    /** Whether a final answer of the protocol came: served, refused or failed. */
    boolean isAnswered() {
      return answer != null && !answer.startsWith("(");
    }

    void await(long millis) {
      long until = millis() + millis;
      while (answer == null && millis() < until) {
        Rig.sleep(5);
      }
    }

    /** Sends a line every two seconds, as usual clients do. */
    Client chat() {
      daemon("chat", () -> {
        try {
          while (!ended) {
            send(socket, "tick\r\n");
            Thread.sleep(2000);
          }
        } catch (IOException | InterruptedException over) {
          // ended
        }
      });
      return this;
    }

    @Override
    public void close() {
      leaving = true;
      try {
        socket.close();
      } catch (IOException ignored) {
        // closed all the same
      }
    }
  }

  /** The proxy, started by the deploy file's command from the repository's root. */
  final class Proxy implements AutoCloseable {
    final Process process;
    final List<String> log = new ArrayList<>();
    volatile int status = -1;

    Proxy(String label, Map<String, String> environment) throws IOException {
      String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
          .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow().replaceFirst("^run = \"(.*)\"$", "$1");
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
      builder.directory(root.toFile()).redirectErrorStream(true);
      builder.environment().keySet().removeIf(key -> key.startsWith("LB_") || key.startsWith("AMBERHOIST_"));
      builder.environment().putAll(environment);
      process = builder.start();
      synchronized (Rig.this) {
        parts.add(this);
      }
      note(label + ": started, pid " + process.pid() + " " + environment);
      daemon("log", () -> {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
          for (String line = in.readLine(); line != null; line = in.readLine()) {
            note(label + ": " + line);
            synchronized (log) {
              log.add(line);
            }
          }
          status = process.waitFor();
          note(label + ": ended with status " + status);
        } catch (IOException | InterruptedException over) {
          // killed
        }
      });
    }

    /** Waits for a line of the log that contains this text. */
    boolean awaitLog(String text, long millis) {
      long until = millis() + millis;
      while (millis() < until) {
        synchronized (log) {
          if (log.stream().anyMatch(line -> line.contains(text))) {
            return true;
          }
        }
        Rig.sleep(5);
      }
      return false;
    }

    void signal(String name) throws IOException, InterruptedException {
      note("signal " + name + " to pid " + process.pid());
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    @Override
    public void close() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Calls the management API; returns the status, or -1 if there was no answer within a second. */
  int call(String address, String method, String path) {
    try (Socket socket = new Socket()) {
      String[] parts = address.split(":");
      socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
      socket.setSoTimeout(1000);
      send(socket, method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n");
      String status = readLine(socket.getInputStream());
      return status == null ? -1 : Integer.parseInt(status.split(" ")[1]);
    } catch (IOException fault) {
      return -1;
    }
  }

  /** Writes the platform's file in one step, so that no reader sees half of it. */
  void writeConfig(Path file, String text) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(next, text);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** The platform's file of a small deployment. */
  static String config(String listen, String mgmt, Directory directory, int sockets, long giveUpMillis, String effect) {
    return config(listen, mgmt, directory, directory.address(), sockets, giveUpMillis, effect);
  }

  /** The same, with the directory at this address. */
  static String config(String listen, String mgmt, Directory directory, String directoryAddress, int sockets,
      long giveUpMillis, String effect) {
    return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + directoryAddress
        + "\",\"seed\":\"8c1f30d27a5be964\"," + (mgmt == null ? "" : "\"mgmt\":\"" + mgmt + "\",")
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\n\"known\":" + directory.list()
        + ",\n\"settings\":{\"zone\":\"here\",\"slot-no\":0,\"balancers\":1,\"discovery\":\"subscribe\",\"lanes\":["
        + "{\"name\":\"scan-tiles\",\"effect\":\"" + effect + "\",\"key-scope\":\"all\",\"aim\":300000,\"give-up\":"
        + giveUpMillis * 1000 + ",\"gain\":2.0,\"stream\":true,\"window\":5000000}],"
        + "\"family-info\":{\"mode\":\"proxy\",\"groups\":true,\"message-aim\":[100000]},"
        + "\"limits\":{\"dial-timeout\":250000,\"max-attempts\":6,\"retry-after\":true,\"max-retry-after\":1500000},"
        + "\"rules\":{\"ask-within\":10000000,\"cold\":19000000,\"cold-share\":0.12,\"fall\":1000000,"
        + "\"overload-factor\":4.0,\"stop-sending-within\":500000,\"answer-slack\":16000}}}";
  }
}
