package amberhoist.net.watch;

import amberhoist.core.Core;
import amberhoist.core.SlotTable;
import amberhoist.core.TimerWheel.Timer;
import amberhoist.decide.Balancer.ListUpdateKind;
import amberhoist.directory.DirectoryUpdate;
import amberhoist.directory.ProviderRegistry;
import amberhoist.directory.WatchParser;
import amberhoist.directory.WatchSuccession;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Counters.Count;
import amberhoist.net.EventLoop;
import amberhoist.net.option.InterruptedCalls;
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
 * Watches the directory for changes. When a watch cannot be established, breaks or becomes silent, another one starts
 * after a pause that grows with each failure, but stays far below the time for which the list may go unrefreshed. When
 * the address changes, {@link WatchSuccession} says how long earlier watches are kept.
 */
public final class DirectoryWatch {
  private static final int BUFFER_BYTES = 16_384;

  /** One watch; I/O completions of an earlier watch are ignored, since its id is no longer in the table. */
  private final class Watch {
    final AsynchronousSocketChannel channel;
    final WatchParser parser = new WatchParser();
    final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    final InetSocketAddress address;
    final ByteBuffer request;
    final long startedAt; // microseconds
    long id;
    long index; // of the latest update, or the one that was asked from
    boolean answered; // at least one update has come
    boolean progressing; // bytes of a line have come since the timer was set
    long lineStartedAt; // when the last complete line had come, or the start; microseconds
    Timer lineTimer;

    Watch(AsynchronousSocketChannel channel, InetSocketAddress address, long index) {
      this.channel = channel;
      this.address = address;
      this.index = index;
      startedAt = loop.now();
      lineStartedAt = startedAt;
      String host = address.getAddress().getHostAddress() + ':' + address.getPort();
      request = ByteBuffer.wrap(("GET /v1/servers?follow=1&since=" + index + " HTTP/1.1\r\nHost: " + host
          + "\r\nAccept: application/json\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }
  }

  /** Receives what becomes of the watch, to log it. */
  public interface Listener {
    /** The directory at this address has sent the first update of a watch, this long after the watch started. */
    void onWatchAnswered(InetSocketAddress address, long index, long millis);

    /** A directory at another address than before has taken over. */
    void onMoved(InetSocketAddress newAddress);

    /** A line is still being written after the timeout, this long after its start; another watch starts beside it. */
    void onLineOverdue(InetSocketAddress address, long millis);

    /** A watch has failed; the next one starts after the given pause in milliseconds. */
    void onWatchFailed(String reason, long pauseMillis);

    /** The entries of these providers could not be read; their previous entries remain valid. */
    void onUnreadableEntries(Set<String> providers);
  }

  private interface Completion<V> {
    void complete(Watch watch, V result) throws IOException;
  }

  private final EventLoop loop;
  private final Core core;
  private final ProviderRegistry registry;
  private final Counters counters;
  private final Random random;
  private final Listener listener;
  private final SlotTable<Watch> watches = new SlotTable<>();
  private final WatchSuccession succession = new WatchSuccession();
  private InetSocketAddress address;
  private InetSocketAddress lastAnsweredAddress; // by which the list is known, the first one until another has answered
  private long index; // of the latest update from the current address; 0 asks for the whole list
  private WatchTiming timing;
  private long pauseMicros;
  private Timer pauseTimer;
  private boolean closed;

  private final CompletionHandler<Void, Long> connectHandler = completion((watch, none) -> writeOrRead(watch));
  private final CompletionHandler<Integer, Long> writeHandler = completion((watch, bytes) -> writeOrRead(watch));
  private final CompletionHandler<Integer, Long> readHandler = completion(this::onRead);

  /** Creates a watch on the directory at the given address, from the given version of the list on. */
  public DirectoryWatch(EventLoop loop, Core core, ProviderRegistry registry, Counters counters, WatchTiming timing,
      InetSocketAddress address, long index, long seed, Listener listener) {
    this.loop = loop;
    this.core = core;
    this.registry = registry;
    this.timing = timing;
    this.listener = listener;
    pauseMicros = timing.initialPauseMicros();
    this.counters = counters;
    this.address = address;
    lastAnsweredAddress = address;
    this.index = index;
    random = new Random(seed);
  }

  private <V> CompletionHandler<V, Long> completion(Completion<V> completion) {
    return new CompletionHandler<>() {
      @Override
      public void completed(V result, Long watchId) {
        loop.run(() -> {
          Watch watch = watches.get(watchId);
          try {
            if (watch != null) {
              completion.complete(watch, result);
            }
          } catch (IOException fault) {
            onBroken(watch, fault.getMessage());
          }
        });
      }

      @Override
      public void failed(Throwable fault, Long watchId) {
        loop.run(() -> onBroken(watches.get(watchId), fault.toString()));
      }
    };
  }

  /** Starts a watch unless one is running or scheduled. */
  public void ensureWatching() {
    if (!succession.isWatching() && pauseTimer == null && !closed) {
      start();
    }
  }

  /** Changes the timing, which applies from the next timeout or pause on. */
  public void timing(WatchTiming newTiming) {
    timing = newTiming;
  }

  /**
   * Starts a watch on a directory at another address at once. The current list remains valid until the new directory
   * replaces it, and earlier watches go on until then; the whole list is requested, since the new directory may number
   * its versions differently.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (newAddress.equals(address) || closed) {
      return;
    }
    address = newAddress;
    index = 0;
    pauseMicros = timing.initialPauseMicros(); // the back-off caused by the old address must not delay the new one
    cancelPause();
    start();
  }

  private void start() {
    try {
      Watch watch = open();
      succession.onOpened(watch.id).forEach(this::discard);
      watch.channel.connect(address, watch.id, connectHandler);
    } catch (IOException fault) {
      scheduleNext(fault.toString());
    }
  }

  private void startBeside() {
    try {
      Watch watch = open();
      succession.onOpenedBeside(watch.id).forEach(this::discard);
      watch.channel.connect(address, watch.id, connectHandler);
    } catch (IOException fault) {
      counters.increment(Count.DIRECTORY_FAILURES); // the watch whose line is overdue goes on
    }
  }

  private Watch open() throws IOException {
    counters.increment(Count.DIRECTORY_WATCHES);
    Watch watch = new Watch(AsynchronousSocketChannel.open(loop.channelGroup()), address, index);
    watch.id = watches.add(watch);
    armLineTimer(watch, timing.firstLineTimeoutMicros());
    return watch;
  }

  private void armLineTimer(Watch watch, long micros) {
    cancel(watch.lineTimer);
    watch.progressing = false;
    watch.lineTimer = loop.timerWheel().arm(loop.now() + micros, now -> onLineTimeout(watch));
  }

  /**
   * No complete line has come within the timeout. A watch that is silent has failed. One whose line is being written
   * is kept, since another call might have to wait as long; that one is made all the same, as the line might not end.
   */
  private void onLineTimeout(Watch watch) {
    long lineMicros = loop.now() - watch.lineStartedAt;
    if (!watch.progressing || lineMicros >= timing.maxLineMicros()) {
      onBroken(watch, "no complete line within the timeout");
      return;
    }
    armLineTimer(watch, Math.min(timing.silenceTimeoutMicros(), timing.maxLineMicros() - lineMicros));
    if (succession.isNewest(watch.id)) {
      listener.onLineOverdue(watch.address, lineMicros / 1000);
      startBeside();
    }
  }

  private static void cancel(Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }

  private void cancelPause() {
    cancel(pauseTimer);
    pauseTimer = null;
  }

  private void writeOrRead(Watch watch) {
    if (watch.request.hasRemaining()) {
      watch.channel.write(watch.request, watch.id, writeHandler);
    } else {
      watch.channel.read(watch.buffer, watch.id, readHandler);
    }
  }

  private void onRead(Watch watch, int bytes) throws IOException {
    if (InterruptedCalls.isInterrupted(bytes)) {
      watch.channel.read(watch.buffer, watch.id, readHandler);
      return;
    }
    if (bytes < 0) {
      throw new IOException("connection closed by the directory");
    }
    watch.progressing = true;
    watch.buffer.flip();
    List<byte[]> lines = new ArrayList<>();
    try {
      watch.parser.feed(watch.buffer, lines::add);
    } finally {
      for (byte[] line : lines) {
        onLine(watch, line);
      }
    }
    if (!lines.isEmpty()) {
      watch.lineStartedAt = loop.now();
      armLineTimer(watch, timing.silenceTimeoutMicros());
    }
    watch.buffer.clear();
    if (watch.parser.isEnded()) {
      throw new IOException("response ended");
    }
    if (watches.get(watch.id) == watch) {
      watch.channel.read(watch.buffer, watch.id, readHandler);
    }
  }

  private void onLine(Watch watch, byte[] line) throws IOException {
    if (line.length == 0) {
      onSound(watch);
      return;
    }
    DirectoryUpdate update = DirectoryUpdate.parse(line, loop.clock());
    if (!update.snapshot() && update.index() < watch.index) {
      setIndex(watch, 0); // the next watch requests the whole list, so that old changes undo no newer ones
      throw new IOException("index is lower than that of the previous update");
    }
    succession.onUpdate(watch.id).forEach(this::discard);
    onSound(watch);
    setIndex(watch, update.index());
    if (!watch.answered) {
      onFirstUpdate(watch);
    }
    counters.increment(Count.DIRECTORY_NEWS);
    if (!update.unreadable().isEmpty()) {
      counters.increment(Count.DIRECTORY_UNREAD);
      listener.onUnreadableEntries(update.unreadable());
    }
    core.onDirectoryUpdate(loop.now(), update.snapshot() ? ListUpdateKind.FULL : ListUpdateKind.CHANGES,
        registry.update(update));
  }

  /** A valid line has come: the next failure at the current address is the first one again. */
  private void onSound(Watch watch) {
    if (succession.isNewest(watch.id)) {
      pauseMicros = timing.initialPauseMicros();
      cancelPause(); // the watch opened beside this one had failed
    }
  }

  private void setIndex(Watch watch, long newIndex) {
    watch.index = newIndex;
    if (succession.isNewest(watch.id)) {
      index = newIndex;
    }
  }

  private void onFirstUpdate(Watch watch) {
    watch.answered = true;
    listener.onWatchAnswered(watch.address, watch.index, (loop.now() - watch.startedAt) / 1000);
    if (!watch.address.equals(lastAnsweredAddress)) {
      lastAnsweredAddress = watch.address;
      listener.onMoved(watch.address);
    }
  }

  /** A watch has failed or was closed by the directory; null if it is no longer in use. */
  private void onBroken(Watch watch, String reason) {
    if (watch == null || closed || !discard(watch.id)) {
      return;
    }
    if (succession.onEnded(watch.id)) {
      scheduleNext(reason);
    }
  }

  /** Closes a watch, whose late completions are ignored; returns whether it was still in use. */
  private boolean discard(long watchId) {
    Watch watch = watches.remove(watchId);
    if (watch == null) {
      return false;
    }
    cancel(watch.lineTimer);
    try {
      watch.channel.close();
    } catch (IOException fault) {
      // the watch is no longer used either way
    }
    return true;
  }

  /** Notifies the listener and the balancer, and schedules the next watch; the current list remains valid. */
  private void scheduleNext(String reason) {
    counters.increment(Count.DIRECTORY_FAILURES);
    long delayMicros = pauseMicros + (long) (random.nextDouble() * pauseMicros);
    pauseMicros = Math.min(2 * pauseMicros, timing.maxPauseMicros());
    listener.onWatchFailed(reason, delayMicros / 1000);
    cancelPause();
    pauseTimer = loop.timerWheel().arm(loop.now() + delayMicros, now -> {
      pauseTimer = null;
      start();
    });
    core.onDirectoryUpdate(loop.now(), ListUpdateKind.FAILED, List.of());
  }

  /** Stops watching permanently. */
  public void close() {
    closed = true;
    cancelPause();
    succession.openWatches().forEach(this::discard);
  }
}
