package amberhoist.net;

import amberhoist.core.Core;
import amberhoist.core.SlotTable;
import amberhoist.core.Wheel.Timer;
import amberhoist.decide.Balancer.ListKind;
import amberhoist.directory.AddressBook;
import amberhoist.directory.News;
import amberhoist.directory.WatchParser;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Keeps a watch on the directory. A watch that fails, breaks or falls silent is followed by another after a
 * pause that grows with each failure but stays far inside the time for which a list may go unasked.
 */
public final class DirectoryWatch {
  private static final int BUFFER = 16_384;

  /** One watch; what comes late for an earlier one finds another here and changes nothing. */
  private final class Watch {
    final AsynchronousSocketChannel channel;
    final WatchParser parser = new WatchParser();
    final ByteBuffer buffer = ByteBuffer.allocate(BUFFER);
    ByteBuffer query;

    Watch(AsynchronousSocketChannel channel) {
      this.channel = channel;
    }
  }

  /** What goes wrong with the watch, as the log is told. */
  public interface Faults {
    /** A watch failed; another follows after so many milliseconds. */
    void failed(String why, long pause);

    /** Entries for these providers could not be read; they stay as they were. */
    void unread(Set<String> providers);
  }

  private interface Step<V> {
    void on(Watch watch, V result) throws IOException;
  }

  private final Loop loop;
  private final Core core;
  private final AddressBook addresses;
  private final Counters counters;
  private InetSocketAddress address;
  private final Random random;
  private final SlotTable<Watch> watches = new SlotTable<>();
  private long current = SlotTable.NONE;
  private long index;
  private final Faults faults;
  private WatchTiming timing;
  private long pause;
  private Timer timer;
  private boolean closed;

  private final CompletionHandler<Void, Long> connected = handler((watch, none) -> write(watch));
  private final CompletionHandler<Integer, Long> wrote = handler((watch, bytes) -> write(watch));
  private final CompletionHandler<Integer, Long> read = handler(this::read);

  /**
   * A watch on the directory at this address, from this version of the list on.
   */
  public DirectoryWatch(Loop loop, Core core, AddressBook addresses, Counters counters, WatchTiming timing,
      InetSocketAddress address, long index, long seed, Faults faults) {
    this.loop = loop;
    this.core = core;
    this.addresses = addresses;
    this.timing = timing;
    this.faults = faults;
    pause = timing.pause();
    this.counters = counters;
    this.address = address;
    this.index = index;
    random = new Random(seed);
  }

  private <V> CompletionHandler<V, Long> handler(Step<V> step) {
    return new CompletionHandler<>() {
      @Override
      public void completed(V result, Long number) {
        loop.run(() -> {
          Watch watch = watches.get(number);
          try {
            if (watch != null) {
              step.on(watch, result);
            }
          } catch (IOException fault) {
            broken(number, fault.getMessage());
          }
        });
      }

      @Override
      public void failed(Throwable fault, Long number) {
        loop.run(() -> broken(number, fault.toString()));
      }
    };
  }

  /** Watches, unless it does already or is about to. */
  public void ensure() {
    if (current == SlotTable.NONE && timer == null && !closed) {
      start();
    }
  }

  /** Goes by other times from the next wait on. */
  public void timing(WatchTiming others) {
    timing = others;
  }

  /**
   * Watches the directory at another address from now on, and at once. The list stays until the new one tells
   * otherwise. It is asked for all of it, since it may number its versions in its own way.
   */
  public void move(InetSocketAddress to) {
    if (to.equals(address) || closed) {
      return;
    }
    address = to;
    index = 0;
    pause = timing.pause(); // guards against a back-off, earned by the old address, that lasts too long
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
    discard(current); // whatever still comes of it finds no watch
    current = SlotTable.NONE;
    start();
  }

  private void start() {
    counters.add(Count.DIRECTORY_WATCHES);
    try {
      Watch watch = new Watch(AsynchronousSocketChannel.open(loop.group()));
      long number = watches.add(watch);
      current = number;
      String host = address.getAddress().getHostAddress() + ':' + address.getPort();
      watch.query = ByteBuffer.wrap(("GET /v1/servers?follow=1&since=" + index + " HTTP/1.1\r\nHost: " + host
          + "\r\nAccept: application/json\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      silenceAfter(timing.firstAnswer(), number);
      watch.channel.connect(address, number, connected);
    } catch (IOException fault) {
      failed(fault.toString());
    }
  }

  private void silenceAfter(long micros, long number) {
    if (timer != null) {
      timer.cancel();
    }
    timer = loop.wheel().arm(loop.now() + micros, at -> broken(number, "silent"));
  }

  private void write(Watch watch) {
    if (watch.query.hasRemaining()) {
      watch.channel.write(watch.query, current, wrote);
    } else {
      watch.channel.read(watch.buffer, current, read);
    }
  }

  private void read(Watch watch, int bytes) throws IOException {
    if (bytes < 0) {
      throw new IOException("ended");
    }
    long number = current;
    watch.buffer.flip();
    List<byte[]> lines = new ArrayList<>();
    try {
      watch.parser.take(watch.buffer, lines::add);
    } finally {
      for (byte[] line : lines) {
        news(line);
      }
    }
    if (!lines.isEmpty()) { // bytes alone are no sign of life: a line that never ends tells nothing
      silenceAfter(timing.silence(), number);
    }
    watch.buffer.clear();
    if (watch.parser.ended()) {
      throw new IOException("ended");
    }
    if (current == number) {
      watch.channel.read(watch.buffer, number, read);
    }
  }

  private void news(byte[] line) throws IOException {
    if (line.length == 0) {
      pause = timing.pause();
      return;
    }
    News news = News.parse(line, loop.clock());
    if (!news.whole() && news.index() < index) {
      index = 0; // guards against old changes undoing newer ones: the next watch asks for all of it
      throw new IOException("an index that runs back");
    }
    pause = timing.pause();
    counters.add(Count.DIRECTORY_NEWS);
    index = news.index();
    if (!news.unread().isEmpty()) {
      counters.add(Count.DIRECTORY_UNREAD);
      faults.unread(news.unread());
    }
    core.directory(loop.now(), news.whole() ? ListKind.FULL : ListKind.CHANGES, addresses.update(news));
  }

  private void broken(long number, String why) {
    if (discard(number) && !closed) {
      failed(why);
    }
  }

  /** Closes a watch; whether it was still in use. */
  private boolean discard(long number) {
    Watch watch = watches.remove(number);
    if (watch != null) {
      try {
        watch.channel.close();
      } catch (IOException gone) {
        // it is no longer used either way
      }
    }
    return watch != null;
  }

  /** The list that is held stays valid; the balancer is told, and another watch follows after a pause. */
  private void failed(String why) {
    current = SlotTable.NONE;
    counters.add(Count.DIRECTORY_FAILURES);
    long wait = pause + (long) (random.nextDouble() * pause);
    pause = Math.min(2 * pause, timing.pauseMost());
    faults.failed(why, wait / 1000);
    if (timer != null) {
      timer.cancel();
    }
    timer = loop.wheel().arm(loop.now() + wait, at -> {
      timer = null;
      start();
    });
    core.directory(loop.now(), ListKind.FAILED, List.of());
  }

  /** Ends the watch for good. */
  public void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
    discard(current);
  }
}
