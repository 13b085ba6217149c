package amberhoist.config;

import amberhoist.config.schema.Setting;
import amberhoist.config.schema.Size;
import amberhoist.core.Timing;
import amberhoist.front.line.LineLimits;
import amberhoist.log.LogSettings;
import amberhoist.net.SocketLimits;
import amberhoist.net.WatchTiming;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.event.Level;

/**
 * The operator's file: every key that it may hold. A component is a key or, where its type is a record, a table.
 * Defaults stand in {@link #DEFAULT}; the reference page is made from both.
 */
public record Operator(Instance instance, Log log, Admin admin, Limits limits, Answers answers, Silence silence,
    Stop stop, Line line, Sockets sockets, Directory directory) {

  /** Who this is, and where it is. */
  @Setting("Who this instance is. The platform's JSON, the environment and flags go before these.")
  public record Instance(
      @Setting(value = "Name in logs and status. Also `LB_NAME`.", restart = true) String name,
      @Setting(value = "Address and port to listen on for clients, such as `10.0.0.4:3000`; port 0 lets the system"
          + " choose. Also `LB_LISTEN`.", restart = true) String listen,
      @Setting(value = "Address and port where operators call (`docs/operations/day-by-day.md`); empty for nowhere."
          + " Also `LB_MGMT`.", restart = true) String mgmt,
      @Setting("Address and port of the directory. Also `LB_DISCOVERY`, which counts at the start only.")
      String directory,
      @Setting(value = "The platform's JSON file, which holds the settings of classes and tenants. Also"
          + " `LB_CONFIG`, which goes before this.", restart = true) String platform) {}

  /** The log. */
  @Setting("The log, on standard error. Its events are listed in `docs/logging.md`.")
  public record Log(
      @Setting(value = "`text` for people, `json` for one object a line. JSON takes about 6 MB more memory.",
          restart = true) LogSettings.Format format,
      @Setting("Events less urgent than this are not told: `error`, `warn`, `info`, `debug`.") Level level,
      @Setting(value = "Lines a second for each event that a client or provider can bring about at will; what is"
          + " over is counted and told.", min = "1", max = "10000") int rate,
      @Setting(value = "So many of these lines at once.", min = "1", max = "100000") int burst,
      @Setting(value = "What may wait for a slow reader of standard error; lines over it are dropped, counted and"
          + " told.", min = "4KiB", max = "64MiB") Size queue) {}

  /** The admin socket. */
  @Setting("The admin socket, for `amberhoist status` and Prometheus. It has no password: whoever reaches it"
      + " reads it.")
  public record Admin(
      @Setting(value = "Where to answer: empty for nowhere, `unix:/path/of/socket`, or `127.x.y.z:port`.",
          restart = true) String listen,
      @Setting(value = "A question must be asked and answered within this.", min = "100ms", max = "1m",
          restart = true) Duration timeout) {}

  /** What the process may hold. */
  @Setting("What the process may hold. Lowering a limit cuts nobody off: new work meets the new limit.")
  public record Limits(
      @Setting(value = "File descriptors. The platform's JSON says this as `limits.sockets`.", min = "32",
          max = "1000000") int descriptors) {}

  /** Final answers. */
  @Setting("Final answers to clients.")
  public record Answers(
      @Setting(value = "An answer leaves this long before the client gives up.", min = "1ms", max = "1s")
      Duration margin,
      @Setting(value = "What a client rejected for want of descriptors is told to wait.", min = "0ms", max = "1m")
      Duration crowdedAdvice) {}

  /** Providers that return nothing. */
  @Setting("Providers that take lines and return none. Their clients are told to move.")
  public record Silence(
      @Setting(value = "Without a line after a client's, on one connection.", min = "100ms", max = "6s")
      Duration alone,
      @Setting(value = "The same where two or more connections to the provider are affected.", min = "50ms",
          max = "6s") Duration together) {}

  /** A stop in good order. */
  @Setting("What happens on SIGTERM.")
  public record Stop(
      @Setting(value = "Clients may still be sent here for this long, and are served.", min = "0ms", max = "1m")
      Duration routed,
      @Setting(value = "Standing clients are moved from then on, or from 0.55 of the time there is, where that is"
          + " short.", min = "0ms", max = "1m") Duration hold,
      @Setting(value = "All clients are moved by then; a longer deadline of theirs counts as this.", min = "100ms",
          max = "10m") Duration longest,
      @Setting(value = "What a client rejected during a stop is told to wait.", min = "0ms", max = "1m")
      Duration advice) {}

  /** The line front. */
  @Setting("The line front: the platform's protocol of lines.")
  public record Line(
      @Setting(value = "A first line must be whole by then, whatever else comes.", min = "50ms", max = "1m")
      Duration firstLine,
      @Setting(value = "A client that sent what cannot be read has this long to end its side.", min = "0ms",
          max = "10s") Duration badLinger,
      @Setting(value = "PINGs on one connection.", min = "1", max = "10000") int pings) {}

  /** Connections. */
  @Setting("What one connection may cost.")
  public record Sockets(
      @Setting(value = "After a final answer the peer has this long to end its side.", min = "10ms", max = "1m")
      Duration linger,
      @Setting(value = "While more than this waits to be written to one side, the other is not read.",
          min = "4KiB", max = "16MiB") Size queue,
      @Setting(value = "Taken in and thrown away after a final answer; what is over is not read.", min = "0B",
          max = "16MiB") Size discard,
      @Setting(value = "Before another try when a connection could not be accepted.", min = "1ms", max = "10s")
      Duration acceptPause,
      @Setting(value = "Connections that wait to be accepted.", min = "1", max = "65535", restart = true)
      int backlog) {}

  /** The watch on the directory. */
  @Setting("The watch on the directory.")
  public record Directory(
      @Setting(value = "Without a whole line for this long, the watch is renewed.", min = "100ms", max = "10m")
      Duration silence,
      @Setting(value = "From a call to its first whole line.", min = "100ms", max = "10m") Duration firstAnswer,
      @Setting(value = "After a failure, before the next watch; doubles with each further one.", min = "1ms",
          max = "1m") Duration pause,
      @Setting(value = "The longest such pause.", min = "1ms", max = "10m") Duration pauseMost) {}

  /** What holds where nothing else is set. */
  public static final Operator DEFAULT = new Operator(
      new Instance("", "", "", "", ""),
      new Log(LogSettings.DEFAULT.format(), LogSettings.DEFAULT.level(), LogSettings.DEFAULT.linesPerSecond(),
          LogSettings.DEFAULT.burst(), new Size(LogSettings.DEFAULT.queueBytes())),
      new Admin("", Duration.ofSeconds(5)),
      new Limits(1024),
      new Answers(micros(Timing.DEFAULT.answerMarginMicros()), micros(LineLimits.DEFAULT.shortageRetryAfterMicros())),
      new Silence(micros(Timing.DEFAULT.silenceTimeoutMicros()), micros(Timing.DEFAULT.sharedSilenceTimeoutMicros())),
      new Stop(micros(Timing.DEFAULT.stopAcceptMicros()), micros(Timing.DEFAULT.stopMoveDelayMicros()),
          micros(Timing.DEFAULT.maxStopMicros()), micros(Timing.DEFAULT.stopRetryAfterMicros())),
      new Line(micros(LineLimits.DEFAULT.firstLineTimeoutMicros()), micros(LineLimits.DEFAULT.malformedLingerMicros()),
          LineLimits.DEFAULT.maxPings()),
      new Sockets(micros(SocketLimits.DEFAULT.lingerMicros()), new Size(SocketLimits.DEFAULT.maxQueuedBytes()),
          new Size(SocketLimits.DEFAULT.maxDiscardedBytes()), micros(SocketLimits.DEFAULT.acceptPauseMicros()),
          SocketLimits.DEFAULT.backlog()),
      new Directory(micros(WatchTiming.DEFAULT.silenceTimeoutMicros()),
      micros(WatchTiming.DEFAULT.firstLineTimeoutMicros()),
          micros(WatchTiming.DEFAULT.initialPauseMicros()), micros(WatchTiming.DEFAULT.maxPauseMicros())));

  private static Duration micros(long micros) {
    return Duration.ofNanos(micros * 1000);
  }

  private static long micros(Duration duration) {
    return duration.toNanos() / 1000;
  }

  /** What contradicts itself in it: a message by the key that it is told at. */
  Map<String, String> contradictions() {
    Map<String, String> found = new LinkedHashMap<>();
    if (silence.together().compareTo(silence.alone()) > 0) {
      found.put("silence.together", "is longer than silence.alone");
    }
    if (stop.routed().compareTo(stop.longest()) > 0) {
      found.put("stop.routed", "is longer than stop.longest");
    }
    if (stop.hold().compareTo(stop.longest()) > 0) {
      found.put("stop.hold", "is longer than stop.longest");
    }
    if (directory.pause().compareTo(directory.pauseMost()) > 0) {
      found.put("directory.pause", "is longer than directory.pause_most");
    }
    if (log.burst() < log.rate()) {
      found.put("log.burst", "is less than log.rate, which could then never be reached");
    }
    return found;
  }

  /** These keys, but for those that only a restart takes up, which are as in this other file. */
  public Operator withRestartKeysOf(Operator other) {
    if (Setup.needRestart(other, this).isEmpty()) {
      return this;
    }
    Map<String, Object> values = Keys.SCHEMA.values(this);
    Map<String, Object> old = Keys.SCHEMA.values(other);
    Keys.SCHEMA.keys().forEach((path, key) -> {
      if (key.setting().restart()) {
        values.put(path, old.get(path));
      }
    });
    return Keys.SCHEMA.bind(values);
  }

  /** The log's part, as the log takes it. */
  public LogSettings logSettings() {
    return new LogSettings(log.format(), log.level(), log.rate(), log.burst(), (int) log.queue().bytes());
  }

  /** The core's part, as the core takes it. */
  public Timing timing() {
    return new Timing(micros(answers.margin()), micros(silence.alone()), micros(silence.together()),
        micros(stop.routed()), micros(stop.hold()), micros(stop.longest()), micros(stop.advice()));
  }

  /** The line front's part, as it takes it. */
  public LineLimits lineLimits() {
    return new LineLimits(micros(line.firstLine()), micros(line.badLinger()), line.pings(),
        micros(answers.crowdedAdvice()));
  }

  /** The connections' part, as the transport takes it. */
  public SocketLimits socketLimits() {
    return new SocketLimits(micros(sockets.linger()), (int) sockets.queue().bytes(),
        (int) sockets.discard().bytes(), micros(sockets.acceptPause()), sockets.backlog());
  }

  /** The watch's part, as the watch takes it. */
  public WatchTiming watchTiming() {
    return new WatchTiming(micros(directory.silence()), micros(directory.firstAnswer()), micros(directory.pause()),
        micros(directory.pauseMost()));
  }
}
