import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for clients, viewer hosts and discovery, and the proxy processes of one case. All addresses are on loopback
 * and all ports are free ones. Times are milliseconds since the start of the case.
 */
final class Rig implements AutoCloseable {
  /** Thrown when the case cannot run, which is no result about the rule. */
  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    CannotRun(String message) {
      super(message);
    }
  }

  private static final Random RANDOM = new Random();
  private static final long MAX_CASE_MILLIS = 110_000;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root;
  final Path temp;
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final List<Process> processes = new CopyOnWriteArrayList<>();
  private final List<AutoCloseable> standIns = new CopyOnWriteArrayList<>();
  private final AtomicInteger starts = new AtomicInteger();
  private final AtomicLong nextId = new AtomicLong(System.nanoTime() & 0xffffffffffL);

  /** The arguments are the root of the repository, the folder of the case and a temporary folder. */
  Rig(String[] args) throws IOException {
    root = Path.of(args[0]);
    temp = Path.of(args[2]);
    record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1]).resolve("record.txt")));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    start(() -> {
      sleep(MAX_CASE_MILLIS);
      log("rig", "CANNOT RUN: the case takes too long");
      Runtime.getRuntime().exit(2);
    });
    log("rig", trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  }

  /** Runs a case and exits: 1 if it returns false, 0 if true, 2 if it cannot run. */
  interface Case {
    boolean holds(Rig rig) throws Exception;
  }

  static void run(String[] args, Case test) {
    int status = 2;
    try (Rig rig = new Rig(args)) {
      try {
        boolean holds = test.holds(rig);
        status = holds ? 0 : 1;
        rig.log("rig", holds ? "RULE HELD" : "RULE BROKEN");
        System.out.println(holds ? "rule held" : "rule broken");
      } catch (Exception fault) {
        rig.log("rig", "CANNOT RUN: " + fault);
        System.out.println("cannot run: " + fault);
      }
    } catch (IOException fault) {
      System.out.println("cannot run: " + fault);
    }
    System.out.flush();
    Runtime.getRuntime().exit(status);
  }

  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void log(String who, String what) {
    synchronized (record) {
      record.printf("%7d %-10s %s%n", now(), who, what);
      record.flush();
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException interrupted) {
      throw new CannotRun("interrupted");
    }
  }

  void sleepUntil(long time) {
    sleep(time - now());
  }

  static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** A free port below the usual range of outgoing connections, so that none of these takes it. */
  static int freePort() {
    for (int i = 0; i < 200; i++) {
      int port = 12_000 + RANDOM.nextInt(18_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException inUse) {
        // tries another one
      }
    }
    throw new CannotRun("no free port");
  }

  // ---- processes -----------------------------------------------------------------------------------------------

  /** The value of a key in the deploy file. */
  String deployKey(String key) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith(key + " = \"")) {
        return line.substring(key.length() + 4, line.lastIndexOf('"'));
      }
    }
    throw new CannotRun("no key " + key + " in the deploy file");
  }

  /** Starts a proxy with the run command of the deploy file; its log goes into the record when the case ends. */
  Process startProxy(String name, Map<String, String> environment) throws IOException {
    File log = temp.resolve(name + "-" + starts.incrementAndGet() + ".log").toFile();
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployKey("run"));
    builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(log);
    builder.environment().keySet().removeIf(key -> key.startsWith("LB_") || key.startsWith("AMBERHOIST_"));
    builder.environment().putAll(environment);
    Process process = builder.start();
    processes.add(process);
    logs.put(name + " pid " + process.pid(), log.toPath());
    log(name, "process " + process.pid() + " started");
    process.onExit().thenAccept(ended -> log(name, "process " + ended.pid() + " ended, status " + ended.exitValue()));
    return process;
  }

  private final Map<String, Path> logs = new TreeMap<>();

  void signal(String name, Process process, String signal) throws Exception {
    log(name, "SIG" + signal + " to process " + process.pid());
    new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
  }

  private void killAll() {
    for (Process process : processes) {
      process.destroyForcibly();
    }
  }

  @Override
  public void close() {
    killAll();
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    for (AutoCloseable standIn : standIns) {
      try {
        standIn.close();
      } catch (Exception closed) {
        // it is closed all the same
      }
    }
    logs.forEach((name, path) -> {
      try {
        for (String line : Files.readAllLines(path)) {
          synchronized (record) {
            record.printf("    log of %s: %s%n", name, line);
          }
        }
      } catch (IOException missing) {
        log("rig", "no log of " + name);
      }
    });
    record.flush();
  }

  /** Waits until the proxy answers PING with PONG, as the front does before it admits a proxy. */
  long awaitPong(String name, int port, Process process, long limitMillis) throws IOException {
    long end = now() + limitMillis;
    while (now() < end) {
      if (!process.isAlive()) {
        throw new CannotRun(name + " ended before it was ready");
      }
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        socket.setSoTimeout(1000);
        socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.ISO_8859_1));
        if ("PONG".equals(readLine(new BufferedInputStream(socket.getInputStream())))) {
          log(name, "answers PONG");
          return now();
        }
      } catch (IOException notYet) {
        sleep(20);
      }
    }
    throw new CannotRun(name + " did not answer PONG within " + limitMillis + " ms");
  }

  /** One call of the management API; returns the status, 0 if there is no answer. */
  int call(int port, String method, String path) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 500);
      socket.setSoTimeout(1000);
      socket.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: operator\r\nContent-Length: 0\r\n\r\n")
          .getBytes(StandardCharsets.ISO_8859_1));
      String status = readLine(new BufferedInputStream(socket.getInputStream()));
      return status == null ? 0 : Integer.parseInt(status.split(" ")[1]);
    } catch (IOException noAnswer) {
      return 0;
    }
  }

  void awaitReady(String name, Process process, int mgmtPort, long limitMillis) {
    long end = now() + limitMillis;
    while (now() < end) {
      if (!process.isAlive()) {
        throw new CannotRun(name + " ended before it was ready");
      }
      if (call(mgmtPort, "GET", "/v1/readyz") == 200) {
        log(name, "GET /v1/readyz answered 200");
        return;
      }
      sleep(50);
    }
    throw new CannotRun(name + " was not ready within " + limitMillis + " ms");
  }

  /** A line without its line end; null at the end of the input. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
    return null;
  }

  // ---- discovery -----------------------------------------------------------------------------------------------

  /** Discovery: the list and watches of it. Each entry is active, leaving or left. */
  final class Discovery implements AutoCloseable {
    final ServerSocket server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private final Map<String, String[]> entries = new LinkedHashMap<>(); // name: address, status, since_ms
    private final List<Watch> watches = new ArrayList<>();
    volatile boolean down;
    volatile long answerDelayMillis;
    /** How long the first object of a watch takes from its first byte to its last; it then comes in pieces. */
    volatile long pieceMillis;
    volatile long lastFailedCallAt = -1;
    final AtomicInteger failedCalls = new AtomicInteger();
    /** When a change of this viewer host was first written on a watch. */
    final Map<String, Long> toldAt = new ConcurrentHashMap<>();
    private long index = 41;

    private final class Watch {
      final Socket socket;
      final OutputStream out;

      Watch(Socket socket) throws IOException {
        this.socket = socket;
        out = socket.getOutputStream();
      }

      void write(String line) throws IOException {
        writeChunk((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
      }

      /** Writes a line in pieces at an even pace. */
      void writeSlowly(String line, long millis) throws IOException {
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.ISO_8859_1);
        int pieces = 50;
        for (int i = 0; i < pieces; i++) {
          writeChunk(Arrays.copyOfRange(bytes, bytes.length * i / pieces, bytes.length * (i + 1) / pieces));
          sleep(i < pieces - 1 ? millis / (pieces - 1) : 0);
        }
      }

      private void writeChunk(byte[] bytes) throws IOException {
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
      }
    }

    Discovery() throws IOException {
      standIns.add(this);
      start(() -> {
        while (!server.isClosed()) {
          try {
            Socket socket = server.accept();
            start(() -> serve(socket));
          } catch (IOException closed) {
            return;
          }
        }
      });
      start(() -> {
        while (!server.isClosed()) {
          sleep(2000);
          send(""); // the empty line that is due every 2 s
        }
      });
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void put(String name, String address, String status, long sinceMillis) {
      entries.put(name, new String[] {address, status, Long.toString(sinceMillis)});
    }

    synchronized String list(boolean snapshot, List<String> names) {
      StringBuilder text = new StringBuilder("{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[");
      String separator = "";
      for (String name : names) {
        String[] entry = entries.get(name);
        text.append(separator).append("{\"name\":\"").append(name).append("\",\"address\":\"").append(entry[0])
            .append("\",\"zone\":\"a\",\"type\":\"std\",\"group\":0,\"status\":\"").append(entry[1])
            .append("\",\"weight\":1.0,\"since_ms\":").append(entry[2]).append('}');
        separator = ",";
      }
      return text.append("]}").toString();
    }

    private List<String> listed() {
      List<String> names = new ArrayList<>(entries.keySet());
      names.removeIf(name -> entries.get(name)[1].equals("left"));
      return names;
    }

    /** The whole list, as the platform would put it into the configuration. */
    synchronized String known() {
      return list(true, listed());
    }

    /** Changes the status of viewer hosts; watches are told at once, unless discovery is down. */
    synchronized void change(String status, List<String> names) {
      index++;
      names.forEach(name -> entries.get(name)[1] = status);
      log("discovery", "index " + index + ": " + String.join(",", names) + " " + status
          + (down ? " (down: nobody is told yet)" : ""));
      if (!down) {
        send(list(false, names));
        if (!watches.isEmpty()) {
          names.forEach(name -> toldAt.putIfAbsent(name, now()));
          log("discovery", "told on " + watches.size() + " watch(es)");
        }
      }
    }

    private synchronized void send(String line) {
      if (down) {
        return;
      }
      watches.removeIf(watch -> {
        try {
          watch.write(line);
          return false;
        } catch (IOException ended) {
          return true;
        }
      });
    }

    /** Goes down: watches end, and calls end in 503. */
    synchronized void goDown() {
      log("discovery", "goes down: " + watches.size() + " watch(es) end, calls end in 503");
      down = true;
      watches.forEach(watch -> {
        try {
          watch.socket.close();
        } catch (IOException closed) {
          // it has ended either way
        }
      });
      watches.clear();
    }

    synchronized void comeBack() {
      log("discovery", "is back");
      down = false;
    }

    private void serve(Socket socket) {
      try {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String request = readLine(in);
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
          // no header matters here
        }
        if (request == null) {
          socket.close();
          return;
        }
        if (down) {
          fail(socket, request);
          return;
        }
        if (answerDelayMillis > 0) {
          log("discovery", "call waits " + answerDelayMillis + " ms in turn: " + request);
          sleep(answerDelayMillis);
          if (down) {
            fail(socket, request);
            return;
          }
        }
        boolean follow = request.contains("follow=1");
        if (follow && pieceMillis > 0) {
          serveSlowly(socket, request);
          return;
        }
        synchronized (this) {
          String list = known();
          OutputStream out = socket.getOutputStream();
          if (!follow) {
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length()
                + "\r\n\r\n" + list).getBytes(StandardCharsets.ISO_8859_1));
            socket.close();
            return;
          }
          out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
              .getBytes(StandardCharsets.ISO_8859_1));
          Watch watch = new Watch(socket);
          watch.write(list);
          watches.add(watch);
          log("discovery", "watch opened, whole list of index " + index + " written: " + request);
          entries.forEach((name, entry) -> {
            if (!entry[1].equals("active")) {
              toldAt.putIfAbsent(name, now());
            }
          });
        }
      } catch (IOException ended) {
        // the caller has gone
      }
    }

    /** Answers a watch whose whole list comes in pieces; the list must not change meanwhile. */
    private void serveSlowly(Socket socket, String request) throws IOException {
      String list = known();
      log("discovery", "whole list in pieces over " + pieceMillis + " ms: " + request);
      socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
          .getBytes(StandardCharsets.ISO_8859_1));
      Watch watch = new Watch(socket);
      try {
        watch.writeSlowly(list, pieceMillis);
      } catch (IOException ended) {
        log("discovery", "the caller ended the watch before the list was written whole");
        return;
      }
      synchronized (this) {
        watches.add(watch);
        log("discovery", "the list is written whole");
      }
    }

    /** Resets all open watches; discovery stays up. */
    synchronized void resetWatches() {
      log("discovery", "resets " + watches.size() + " watch(es)");
      watches.forEach(watch -> {
        try {
          watch.socket.setSoLinger(true, 0);
          watch.socket.close();
        } catch (IOException closed) {
          // it has ended either way
        }
      });
      watches.clear();
    }

    private void fail(Socket socket, String request) throws IOException {
      socket.getOutputStream().write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
          .getBytes(StandardCharsets.ISO_8859_1));
      socket.close();
      failedCalls.incrementAndGet();
      lastFailedCallAt = now();
      log("discovery", "503 to " + request);
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  // ---- viewer hosts --------------------------------------------------------------------------------------------

  /** A request that arrived at a viewer host. */
  record Arrival(long at, String host, String id, String answer) {}

  final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

  /** A viewer host: takes connections and returns their lines; one that drains turns new ones away with BUSY. */
  final class Host implements AutoCloseable {
    final String name;
    final ServerSocket server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    final List<Socket> open = new CopyOnWriteArrayList<>();
    volatile boolean draining;

    Host(String name) throws IOException {
      this.name = name;
      standIns.add(this);
      start(() -> {
        while (!server.isClosed()) {
          try {
            Socket socket = server.accept();
            start(() -> serve(socket));
          } catch (IOException closed) {
            return;
          }
        }
      });
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        String first = readLine(in);
        if (first == null) {
          return;
        }
        if (!first.startsWith("OPEN ")) {
          out.write("NO\r\n".getBytes(StandardCharsets.ISO_8859_1));
          return;
        }
        String id = first.split(" ")[1];
        String answer = draining ? "BUSY" : "UP r-" + name + "-" + id;
        arrivals.add(new Arrival(now(), name, id, answer));
        log(name, "got " + first + " -> " + answer);
        out.write((answer + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        if (draining) {
          return;
        }
        open.add(socket);
        for (String line = readLine(in); line != null; line = readLine(in)) {
          out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
      } catch (IOException ended) {
        // the proxy has ended the connection, or this host has stopped
      } finally {
        open.remove(socket);
      }
    }

    /** Stops as a process does that ends: what it still holds is cut off. */
    void stop() {
      log(name, "stops, " + open.size() + " connection(s) open");
      try {
        server.close();
        for (Socket socket : open) {
          socket.close();
        }
      } catch (IOException closed) {
        // it has stopped either way
      }
    }

    @Override
    public void close() throws IOException {
      stop();
    }
  }

  /** Adds viewer hosts with these names, active for a long time, to the list. */
  Map<String, Host> hosts(Discovery discovery, String... names) throws IOException {
    Map<String, Host> hosts = new LinkedHashMap<>();
    for (String name : names) {
      Host host = new Host(name);
      hosts.put(name, host);
      discovery.put(name, host.address(), "active", 0);
    }
    return hosts;
  }

  // ---- clients -------------------------------------------------------------------------------------------------

  /** One connection of a client, from its first line to its end. */
  final class Client {
    final String id = Long.toHexString(nextId.incrementAndGet());
    final String key;
    String at = ""; // the viewer host that has the connection already, as a field of the first line
    volatile String answer; // null until there is one
    volatile long sentAt = -1; // when the last byte of the first line was written; -1 if it was not
    volatile long answeredAt = -1;
    volatile String end; // how the connection ended; null until it has
    volatile long endedAt = -1;
    volatile boolean moved; // MOVE came before the end
    volatile boolean left; // this client ended the connection
    volatile long lastLineAt;
    volatile Socket socket;

    Client(String key) {
      this.key = key;
    }

    /** Opens a connection and keeps it for this long if it is served; sends a line every 2 s. */
    void run(int port, long waitMillis, long lifeMillis) {
      try (Socket connection = new Socket()) {
        socket = connection;
        connection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        connection.setTcpNoDelay(true);
        connection.setSoTimeout((int) waitMillis + 1500);
        OutputStream out = connection.getOutputStream();
        InputStream in = new BufferedInputStream(connection.getInputStream());
        out.write(("OPEN " + id + " " + key + " c=by-number,t=zhongshan-tel,d=" + waitMillis + ",g=" + key + at + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        sentAt = now();
        answer = readLine(in);
        answeredAt = now();
        log("client", id + " answered " + answer + " after " + (answeredAt - sentAt) + " ms");
        if (answer == null || !answer.startsWith("UP ")) {
          end = answer == null ? "closed without an answer" : "answered";
          return;
        }
        long endOfLife = now() + lifeMillis;
        start(() -> {
          try {
            while (now() < endOfLife && end == null) {
              synchronized (out) {
                out.write(("m " + id + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
              }
              sleep(Math.min(2000, Math.max(1, endOfLife - now())));
            }
            if (end == null) {
              left = true;
              connection.shutdownOutput();
            }
          } catch (IOException ended) {
            // the reader tells how the connection ended
          }
        });
        connection.setSoTimeout(0);
        for (String line = readLine(in); line != null; line = readLine(in)) {
          lastLineAt = now();
          moved |= line.equals("MOVE");
        }
        end = "FIN";
      } catch (IOException fault) {
        end = answer == null && sentAt >= 0 ? "no answer: " + fault.getMessage() : String.valueOf(fault.getMessage());
      } finally {
        endedAt = now();
        if (!left) {
          log("client", id + " ended: " + end + (moved ? ", after MOVE" : ""));
        }
      }
    }
  }

  final List<Client> clients = new CopyOnWriteArrayList<>();

  Client startClient(int port, String key, long waitMillis, long lifeMillis) {
    Client client = new Client(key);
    clients.add(client);
    start(() -> client.run(port, waitMillis, lifeMillis));
    return client;
  }

  /** Hands over a connection that was open at this viewer host before the run. */
  Client startHandover(int port, String key, String host, long waitMillis) {
    Client client = new Client(key);
    client.at = ",at=" + host;
    clients.add(client);
    start(() -> client.run(port, waitMillis, 60_000));
    return client;
  }

  /** Starts clients with keys of their own at this rate until the returned object is closed. */
  AutoCloseable traffic(int port, int perSecond, long waitMillis, long lifeMillis) {
    boolean[] ended = new boolean[1];
    start(() -> {
      long next = now();
      for (int i = 0; !ended[0]; i++) {
        startClient(port, "k" + i, waitMillis, lifeMillis);
        next += 1000 / perSecond;
        sleep(next - now());
      }
    });
    return () -> ended[0] = true;
  }

  // ---- configuration -------------------------------------------------------------------------------------------

  /** Writes a configuration like that of a small deployment and returns its path. */
  Path config(String file, String listen, String discovery, String known, String mode) throws IOException {
    return config(file, listen, discovery, known, mode, STOP_SENDING_MILLIS);
  }

  /** The same with another rules.stop-sending-within. */
  Path config(String file, String listen, String discovery, String known, String mode, long stopSendingMillis)
      throws IOException {
    String text = "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
        + "\",\"seed\":\"8c1f30d27a5be964\",\n"
        + " \"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
        + " \"known\":" + known + ",\n"
        + " \"settings\":{\"zone\":\"a\",\"azs\":[\"a\"],\"slot-no\":0,\"balancers\":1,\"discovery\":\"" + mode + "\",\n"
        + "  \"lanes\":[{\"name\":\"by-number\",\"effect\":\"pure\",\"key-scope\":\"all\",\"aim\":800000,"
        + "\"give-up\":3200000,\"gain\":1.0,\"stream\":true},\n"
        + "   {\"name\":\"by-call-id\",\"effect\":\"pure\",\"key-scope\":\"all\",\"aim\":300000,"
        + "\"give-up\":1200000,\"gain\":3.0,\"stream\":true}],\n"
        + "  \"tenants\":[{\"name\":\"zhongshan-tel\",\"fraction\":0.72,\"quota-per-s\":50.0},"
        + "{\"name\":\"lanyu-voice\",\"fraction\":0.28,\"quota-per-s\":50.0}],\n"
        + "  \"family-info\":{\"mode\":\"proxy\",\"groups\":true,\"message-aim\":[50000,50000]},\n"
        + "  \"limits\":{\"dial-timeout\":200000,\"max-attempts\":4,\"retry-after\":true,\"max-retry-after\":1500000,"
        + "\"probing\":false,\"peers\":false,\"may-cancel\":true,\"may-duplicate\":false},\n"
        + "  \"rules\":{\"ask-within\":10000000,\"cold\":9000000,\"cold-share\":0.33,\"fall\":2000000,"
        + "\"overload-factor\":3.0,\"stop-sending-within\":" + stopSendingMillis * 1000 + ",\"answer-slack\":16000}}}\n";
    Path path = temp.resolve(file);
    Files.writeString(path, text);
    return path;
  }

  /** rules.stop-sending-within of the settings, as at the second deployment. */
  static final long STOP_SENDING_MILLIS = 250;
  /** Each time limit is 50 ms longer on sockets. */
  static final long SOCKET_SLACK_MILLIS = 50;
  static final long DRAIN_BOUND_MILLIS = STOP_SENDING_MILLIS + SOCKET_SLACK_MILLIS;

  /** The arrivals at this host after this time, each logged as a breach. */
  int countLate(String host, long boundAt, String why) {
    int late = 0;
    for (Arrival arrival : arrivals) {
      if (arrival.host().equals(host) && arrival.at() > boundAt) {
        late++;
        log("check", "BREACH: " + arrival.id() + " sent to " + host + " at " + arrival.at() + ", "
            + (arrival.at() - boundAt) + " ms after the bound; " + why);
      }
    }
    return late;
  }
}
