package amberhoist.net;

import amberhoist.core.Commands;
import amberhoist.core.Core;
import amberhoist.core.SlotTable;
import amberhoist.decide.Balancer.Outcome;
import amberhoist.front.line.MalformedLine;
import amberhoist.front.line.Opening;
import amberhoist.front.line.ProviderLine;
import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Counters;
import amberhoist.net.Connection.Role;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * The sockets of clients and providers: accepts, reads lines, writes queues, and translates between them and
 * the core. All of it runs on the loop's thread.
 */
public final class Proxy implements Commands {
  private static final byte[] PONG = ascii("PONG\r\n");
  private static final byte[] ERR = ascii("ERR\r\n");
  private static final byte[] MOVE = ascii("MOVE\r\n");
  private static final long FIRST_LINE = 2_000_000; // after connecting, whatever else the client sends
  private static final int PINGS_MOST = 16; // on one connection: their answers pile up if nobody reads them
  static final long LINGER = 1_000_000; // for the peer to end its side after ours
  private static final long BAD_LINGER = 250_000; // after what cannot be read
  private static final int DISCARD_MOST = 1 << 16; // taken in after the answer; the rest is not read
  private static final long ACCEPT_PAUSE = 50_000; // before another accept when one failed
  private static final int BACKLOG = 1024;
  private static final int OWN_DESCRIPTORS = 24; // 12 of the runtime and the group, two watches, the file
  private static final long CROWDED_ADVICE = 500_000;

  private final Loop loop;
  private final Counters counters;
  private final Lobby lobby = new Lobby(this::evict);
  private final Map<String, Long> ids = new HashMap<>(); // of the clients held or joined
  private long mostAdvice = Long.MAX_VALUE;
  private final SlotTable<Connection> connections = new SlotTable<>();
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private Core core;
  private Runnable watch;
  private AsynchronousServerSocketChannel server;

  private final CompletionHandler<AsynchronousSocketChannel, Void> accepted = new CompletionHandler<>() {
    @Override
    public void completed(AsynchronousSocketChannel channel, Void none) {
      loop.run(() -> {
        accepted(channel);
        accept();
      });
    }

    @Override
    public void failed(Throwable fault, Void none) {
      if (server.isOpen()) {
        // Out of descriptors, mostly: the loop of accepts must outlive that.
        loop.run(() -> {
          counters.add(Count.ACCEPT_FAILED);
          acceptLater();
        });
      }
    }
  };

  private final CompletionHandler<Void, Long> connected = handler((c, none) -> connected(c), this::broken);
  private final CompletionHandler<Integer, Long> read = handler((c, n) -> {
    c.reading = false;
    read(c, n);
  }, this::broken);
  private final CompletionHandler<Integer, Long> wrote = handler((c, n) -> {
    c.writing = false;
    c.queued -= n;
    write(c);
  }, this::broken);

  private interface Completed<V> {
    void on(Connection connection, V result);
  }

  private interface Failed {
    void on(Connection connection);
  }

  /** A handler that finds its connection by number: a late completion finds none and changes nothing. */
  private <V> CompletionHandler<V, Long> handler(Completed<V> completed, Failed failed) {
    return new CompletionHandler<>() {
      @Override
      public void completed(V result, Long number) {
        loop.run(() -> on(number, c -> completed.on(c, result)));
      }

      @Override
      public void failed(Throwable fault, Long number) {
        loop.run(() -> on(number, failed::on));
      }
    };
  }

  /** A proxy on this loop; {@link #limit} says what it may hold and {@link #open} makes it serve. */
  public Proxy(Loop loop, Counters counters) {
    this.loop = loop;
    this.counters = counters;
  }

  /**
   * Holds so many descriptors at most from now on, and tells rejected clients to wait no longer than this.
   * Connections of invocations above that limit are not cut off.
   */
  public void limit(int descriptors, long longestAdvice) {
    lobby.limit(Math.max(18, descriptors - OWN_DESCRIPTORS));
    mostAdvice = longestAdvice;
  }

  /** Names the core to translate for, and what makes sure that the directory is watched. */
  public void wire(Core theCore, Runnable theWatch) {
    core = theCore;
    watch = theWatch;
  }

  /** Where providers are to be reached; replaces all that was known when {@code whole}. */
  public void addresses(Map<String, InetSocketAddress> news, boolean whole) {
    if (whole) {
      addresses.clear();
    }
    addresses.putAll(news);
  }

  /** Listens, and accepts from now on. */
  public void open(InetSocketAddress listen) throws IOException {
    server = AsynchronousServerSocketChannel.open(loop.group());
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(listen, BACKLOG);
    accept();
  }

  /** The address that is listened on. */
  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) server.getLocalAddress();
  }

  /** How many connections are held. */
  public int size() {
    return connections.size();
  }

  private void accept() {
    if (!server.isOpen()) {
      return;
    }
    if (lobby.room(1)) {
      server.accept(null, accepted);
    } else {
      acceptLater(); // better off waiting in the backlog than cut off for want of descriptors
    }
  }

  private void acceptLater() {
    loop.wheel().arm(loop.now() + ACCEPT_PAUSE, at -> accept());
  }

  private void accepted(AsynchronousSocketChannel channel) {
    counters.add(Count.ACCEPTED);
    Connection c = new Connection(channel, Role.NEW);
    c.number = connections.add(c);
    lobby.arrived(c);
    c.connected = true;
    noDelay(c);
    c.timer = loop.wheel().arm(loop.now() + FIRST_LINE, at -> malformed(c));
    read(c);
  }

  private void evict(Connection c) {
    counters.add(Count.EVICTED);
    drop(c);
  }

  private static void noDelay(Connection c) {
    try {
      c.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException gone) {
      // the first read or write will tell
    }
  }

  private void read(Connection c) {
    Connection peer = connections.get(c.peer);
    boolean held = c.joined && peer != null && peer.queued > Connection.QUEUE_MOST;
    boolean wanted = c.discarded <= DISCARD_MOST;
    if (!c.reading && !c.inputEnded && !held && wanted && connections.get(c.number) == c) {
      c.reading = true;
      c.channel.read(c.in, c.number, read);
    }
  }

  private void read(Connection c, int bytes) {
    if (bytes < 0) {
      c.inputEnded = true;
      inputEnded(c);
      return;
    }
    if (c.finishing) {
      c.in.clear(); // whatever still comes is of no interest
      c.scanned = 0;
      c.discarded += bytes;
    } else if (c.role == Role.CLIENT && !c.joined) {
      // Guards against lines for a provider that never saw them: a client waits after its first one.
      malformed(c);
      core.clientLeft(loop.now(), c.invocation);
    } else {
      lines(c);
    }
    read(c);
  }

  /** Takes up what lines the input holds, as far as the connection is ready for them. */
  private void lines(Connection c) {
    try {
      while (!c.finishing && connections.get(c.number) == c && (c.role != Role.CLIENT || c.joined)) {
        byte[] line = c.line();
        if (line == null) {
          return;
        }
        switch (c.role) {
          case NEW -> firstLine(c, line);
          case CLIENT -> clientLine(c, line);
          default -> providerLine(c, line);
        }
      }
    } catch (IOException overlong) {
      if (c.role == Role.NEW) {
        malformed(c);
      } else {
        broken(c);
      }
    }
  }

  private void firstLine(Connection c, byte[] line) {
    String text = text(line);
    if (text == null) {
      malformed(c);
    } else if (text.equals("PING")) {
      counters.add(Count.PINGED);
      if (++c.pings > PINGS_MOST) {
        malformed(c);
      } else {
        send(c, PONG);
      }
    } else {
      Opening opening;
      try {
        opening = Opening.parse(text);
      } catch (MalformedLine fault) {
        malformed(c);
        return;
      }
      if (c.in.position() > 0 || ids.containsKey(opening.id())) {
        malformed(c); // sent more without waiting, or took the id of a client that is still here
        return;
      }
      c.timer.cancel();
      c.opening = opening;
      c.role = Role.CLIENT;
      lobby.taken(c);
      ids.put(opening.id(), c.number);
      if (!lobby.room(0) || lobby.crowded() && opening.provider() == null) {
        counters.add(Count.CROWDED_OUT);
        reject(c.number, CROWDED_ADVICE); // a provider connection would take the last descriptors
        return;
      }
      long arrived = loop.now();
      // Behind what has already come in: news from the directory must reach the balancer first.
      loop.post(() -> {
        if (connections.get(c.number) == c && !c.finishing) {
          c.invocation = core.invocation(arrived, c.number, c.opening);
        }
      });
    }
  }

  private void malformed(Connection c) {
    counters.add(Count.MALFORMED);
    c.linger = BAD_LINGER;
    send(c, ERR);
    finish(c);
  }

  private void clientLine(Connection c, byte[] line) {
    Connection provider = connections.get(c.peer);
    if (provider != null) {
      counters.add(Count.LINES_TO_PROVIDERS);
      core.asked(loop.now(), c.invocation, c.peer);
      send(provider, line);
    }
  }

  private void providerLine(Connection c, byte[] line) {
    String text = text(line);
    ProviderLine kind = text == null ? ProviderLine.OTHER : ProviderLine.of(text);
    if (!c.joined) {
      answer(c, kind, line);
      return;
    }
    if (kind != ProviderLine.LOAD) {
      core.returned(loop.now(), c.invocation, c.number); // a hung provider goes on telling loads
    }
    switch (kind) {
      case LOAD -> {
        double load = ProviderLine.load(text);
        if (!Double.isNaN(load)) {
          core.load(loop.now(), c.invocation, c.number, load);
        }
      }
      case BYE -> c.farewell = Outcome.SERVED;
      case MOVE -> c.farewell = Outcome.CANCELLED;
      default -> {}
    }
    Connection client = connections.get(c.peer);
    if (client != null) {
      counters.add(Count.LINES_TO_CLIENTS);
      send(client, line);
    }
  }

  /** The first line of a provider: its answer to the invoker call. A malformed one is the call's error. */
  private void answer(Connection c, ProviderLine kind, byte[] line) {
    if (kind != ProviderLine.UP) {
      Outcome outcome = switch (kind) {
        case BUSY -> Outcome.FULL;
        case BYE -> Outcome.SERVED;
        case MOVE -> Outcome.CANCELLED;
        default -> Outcome.ERROR;
      };
      core.callEnded(loop.now(), c.invocation, c.number, outcome);
      return;
    }
    core.up(loop.now(), c.invocation, c.number);
    Connection client = connections.get(c.peer);
    if (c.joined && client != null) {
      send(client, line);
      read(client);
    }
  }

  private static String text(byte[] line) {
    boolean ended = line.length >= 2 && line[line.length - 2] == '\r';
    return ended ? new String(line, 0, line.length - 2, StandardCharsets.ISO_8859_1) : null;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private void send(Connection c, byte[] bytes) {
    if (!c.finishing) {
      c.queue.add(ByteBuffer.wrap(bytes));
      c.queued += bytes.length;
      write(c);
    }
  }

  /** Writes on: a channel takes one write at a time. */
  private void write(Connection c) {
    while (!c.queue.isEmpty() && !c.queue.peek().hasRemaining()) {
      c.queue.remove();
    }
    if (c.writing || !c.connected || connections.get(c.number) != c) {
      return;
    }
    if (!c.queue.isEmpty()) {
      c.writing = true;
      c.channel.write(c.queue.peek(), c.number, wrote);
    } else if (c.written != null) {
      Runnable then = c.written;
      c.written = null;
      then.run();
    } else if (c.finishing && !c.finished) {
      c.finished = true;
      endOutput(c);
    }
    Connection peer = connections.get(c.peer);
    if (peer != null && c.queued <= Connection.QUEUE_MOST) {
      read(peer);
    }
  }

  private void endOutput(Connection c) {
    try {
      c.channel.shutdownOutput();
    } catch (IOException gone) {
      drop(c);
      return;
    }
    if (c.inputEnded) {
      drop(c);
    } else {
      c.timer.cancel();
      c.timer = loop.wheel().arm(loop.now() + c.linger, at -> drop(c));
    }
  }

  /** Ends a connection in good order: what is queued, then FIN; then it waits a little for the peer's end. */
  private void finish(Connection c) {
    if (!c.finishing && connections.get(c.number) == c) {
      c.finishing = true;
      lobby.ends(c);
      forget(c);
      if (c.timer != null) {
        c.timer.cancel();
      }
      c.timer = loop.wheel().arm(loop.now() + 2 * LINGER, at -> drop(c)); // a peer that takes nothing in
      write(c);
      read(c);
    }
  }

  private void drop(Connection c) {
    if (connections.get(c.number) == c) {
      connections.remove(c.number);
      lobby.left(c);
      forget(c);
      c.close();
    }
  }

  /** The id is free again. */
  private void forget(Connection c) {
    if (c.role == Role.CLIENT) {
      ids.remove(c.opening.id(), c.number);
    }
  }

  private void reset(Connection c) {
    Resets.arm(c.channel);
    drop(c);
  }

  /** The peer has ended its sending side. */
  private void inputEnded(Connection c) {
    if (c.finishing) {
      if (c.finished) {
        drop(c);
      }
      return;
    }
    end(c, this::finish, false);
  }

  /** The connection broke, could not be made, or brought what no peer may send. */
  private void broken(Connection c) {
    if (c.finishing) {
      drop(c); // it has been ended already; the other side must still get what is queued for it
    } else {
      end(c, this::reset, true);
    }
  }

  /** One side has ended: the other is ended the same way, and the core is told. */
  private void end(Connection c, java.util.function.Consumer<Connection> ending, boolean reset) {
    Connection peer = connections.get(c.peer);
    long now = loop.now();
    switch (c.role) {
      case NEW -> {
        if (!reset && c.in.position() > 0) {
          malformed(c); // a first line that is never finished
        }
        ending.accept(c);
      }
      case CLIENT -> {
        if (c.joined && peer != null) {
          ending.accept(peer);
        } else if (!reset) {
          send(c, rejection(0)); // one final answer, also to a client that has only ended its sending side
        }
        ending.accept(c);
        core.clientLeft(now, c.invocation);
      }
      default -> {
        boolean wasJoined = c.joined;
        if (wasJoined && peer != null) {
          ending.accept(peer);
        }
        ending.accept(c);
        if (wasJoined) {
          core.ended(now, c.invocation, c.number, c.farewell == null ? Outcome.RESET : c.farewell);
        } else {
          core.callEnded(now, c.invocation, c.number, Outcome.RESET);
        }
      }
    }
  }

  @Override
  public long dial(long invocation, long client, String provider) {
    InetSocketAddress address = addresses.get(provider);
    Connection from = connections.get(client);
    if (address == null || from == null) {
      return SlotTable.NONE;
    }
    try {
      Connection c = new Connection(AsynchronousSocketChannel.open(loop.group()), Role.PROVIDER);
      c.number = connections.add(c);
      c.invocation = invocation;
      c.peer = client;
      c.opening = from.opening;
      lobby.taken(c);
      noDelay(c);
      c.channel.connect(address, c.number, connected);
      return c.number;
    } catch (IOException | RuntimeException fault) {
      System.err.println("cannot connect to " + provider + ": " + fault);
      return SlotTable.NONE;
    }
  }

  private void connected(Connection c) {
    c.connected = true;
    core.connected(loop.now(), c.invocation, c.number);
  }

  @Override
  public void forward(long provider, long millis) {
    on(provider, c -> {
      c.written = () -> core.written(loop.now(), c.invocation, c.number);
      send(c, c.opening.forward(millis));
      read(c);
    });
  }

  private void on(long number, java.util.function.Consumer<Connection> action) {
    Connection c = connections.get(number);
    if (c != null) {
      action.accept(c);
    }
  }

  @Override
  public void abandon(long provider) {
    on(provider, this::drop);
  }

  @Override
  public void join(long client, long provider) {
    Connection c = connections.get(client);
    Connection p = connections.get(provider);
    if (c != null && p != null) {
      c.peer = provider;
      c.joined = true;
      p.joined = true;
    }
  }

  private static byte[] rejection(long retryAfter) {
    long millis = (retryAfter + 999) / 1000;
    return ascii(millis > 0 ? "BUSY " + millis + "\r\n" : "BUSY\r\n");
  }

  private void answerAndFinish(long client, byte[] answer) {
    on(client, c -> {
      send(c, answer);
      finish(c);
    });
  }

  @Override
  public void reject(long client, long retryAfter) {
    answerAndFinish(client, rejection(Math.min(retryAfter, mostAdvice)));
  }

  @Override
  public void fail(long client) {
    answerAndFinish(client, ERR);
  }

  @Override
  public void move(long client) {
    on(client, c -> {
      on(c.peer, this::finish);
      answerAndFinish(client, MOVE);
    });
  }

  @Override
  public void watch() {
    watch.run();
  }

  @Override
  public void log(String message) {
    System.err.println(message);
  }

  /** Stops accepting and closes what is left. */
  public void close() {
    try {
      server.close();
    } catch (IOException closed) {
      // nothing listens any more either way
    }
    LongConsumer dropEach = number -> on(number, this::drop);
    connections.forEach(dropEach);
  }
}
