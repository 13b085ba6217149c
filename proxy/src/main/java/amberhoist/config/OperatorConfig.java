package amberhoist.config;

import amberhoist.config.schema.Setting;
import amberhoist.config.schema.Size;
import amberhoist.core.Timing;
import amberhoist.front.line.LineLimits;
import amberhoist.log.LogSettings;
import amberhoist.net.SocketLimits;
import amberhoist.net.watch.WatchTiming;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.event.Level;

/**
 * The operator's file, with all keys that it may contain. A record component is a key or, if its type is a record, a
 * table; its name is the name of the key. The defaults are in {@link #DEFAULT}. The reference page is generated from
 * the annotations and the defaults.
 */
public record OperatorConfig(Instance instance, Log log, Admin admin, Limits limits, Answers answers, Silence silence,
    Stop stop, Line line, Sockets sockets, Directory directory) {

  /** Identity and addresses of the instance. */
  @Setting("Identity and addresses of this instance. The platform's JSON, the environment and flags override these"
      + " keys.")
  public record Instance(
      @Setting(value = "Name in logs and status. Environment variable: `LB_NAME`.", restart = true) String name,
      @Setting(value = "Address and port on which clients are accepted, such as `10.0.0.4:3000`; for port 0 the"
          + " system chooses a free port. Environment variable: `LB_LISTEN`.", restart = true) String listen,
      @Setting(value = "Address and port of the management API (`docs/operations/day-by-day.md`); empty disables it."
          + " Environment variable: `LB_MGMT`.", restart = true) String mgmt,
      @Setting("Address and port of the directory. Environment variable: `LB_DISCOVERY`, which applies only at"
          + " startup.")
      String directory,
      @Setting(value = "Path of the platform's JSON file, which holds the settings of classes and tenants."
          + " Environment variable: `LB_CONFIG`, which overrides this key.", restart = true) String platform) {}

  /** Logging. */
  @Setting("Logging to standard error. The events are listed in `docs/logging.md`.")
  public record Log(
      @Setting(value = "`text` for people, `json` for one JSON object per line. JSON takes about 6 MB more memory.",
          restart = true) LogSettings.Format format,
      @Setting("Minimum level of the events that are logged: `error`, `warn`, `info` or `debug`.") Level level,
      @Setting(value = "Maximum lines per second for each event that clients or providers can trigger at will."
          + " Lines above it are suppressed; their number is logged.", min = "1", max = "10000") int rate,
      @Setting(value = "Maximum number of such lines at once. Must not be less than `log.rate`.",
          min = "1", max = "100000") int burst,
      @Setting(value = "Maximum size of the lines queued for a slow reader of standard error. Further lines are"
          + " dropped; their number is logged.", min = "4KiB", max = "64MiB") Size queue) {}

  /** The admin socket. */
  @Setting("The admin socket, for `amberhoist status` and Prometheus. It requires no authentication: anyone who"
      + " can connect to it can read from it.")
  public record Admin(
      @Setting(value = "Address to listen on: `unix:/path/of/socket` or `127.x.y.z:port`; empty disables the socket.",
          restart = true) String listen,
      @Setting(value = "Time limit for receiving a request, and again for sending the response.",
          min = "100ms", max = "1m", restart = true) Duration timeout) {}

  /** Resource limits of the process. */
  @Setting("Resource limits of the process. Lowering a limit closes no existing connection; it applies to new work.")
  public record Limits(
      @Setting(value = "Maximum number of file descriptors. Overridden by `limits.sockets` of the platform's JSON.",
          min = "32", max = "1000000") int descriptors) {}

  /** Final answers. */
  @Setting("Final answers to clients.")
  public record Answers(
      @Setting(value = "Time before the client's deadline at which its answer is sent at the latest.",
          min = "1ms", max = "1s") Duration margin,
      @Setting(value = "Retry-after of clients that are rejected because file descriptors ran short.",
          min = "0ms", max = "1m") Duration crowdedAdvice) {}

  /** Detection of silent providers. */
  @Setting("Detection of silent providers, which accept lines but return none. Their clients are moved.")
  public record Silence(
      @Setting(value = "Time without a line from the provider after a client's line, on one connection.",
          min = "100ms", max = "6s") Duration alone,
      @Setting(value = "The same if two or more connections to the provider are affected. Must not exceed"
          + " `silence.alone`.", min = "50ms", max = "6s") Duration together) {}

  /** Graceful stop. */
  @Setting("Graceful stop, on SIGTERM.")
  public record Stop(
      @Setting(value = "Time during which clients may still be sent here and are served. Must not exceed"
          + " `stop.longest`.", min = "0ms", max = "1m") Duration routed,
      @Setting(value = "Delay after which established clients are moved, at most 0.55 of the time available for the"
          + " stop but no less than `stop.routed`. Must not exceed `stop.longest`.",
          min = "0ms", max = "1m") Duration hold,
      @Setting(value = "Time by which all clients are moved; longer client deadlines are treated as this.",
          min = "100ms", max = "10m") Duration longest,
      @Setting(value = "Retry-after of clients that are rejected during a stop.", min = "0ms", max = "1m")
      Duration advice) {}

  /** The line front. */
  @Setting("The line front, which serves the platform's line protocol.")
  public record Line(
      @Setting(value = "Time limit for a client's complete first line; PINGs do not extend it.",
          min = "50ms", max = "1m") Duration firstLine,
      @Setting(value = "Time for a client that sent malformed input to end its side of the connection.",
          min = "0ms", max = "10s") Duration badLinger,
      @Setting(value = "Maximum number of PINGs on one connection.", min = "1", max = "10000") int pings) {}

  /** Connections. */
  @Setting("Limits on connections.")
  public record Sockets(
      @Setting(value = "Time for the peer to end its side of the connection after a final answer.",
          min = "10ms", max = "1m") Duration linger,
      @Setting(value = "While more than this is queued to be written to one side, the other side is not read.",
          min = "4KiB", max = "16MiB") Size queue,
      @Setting(value = "Maximum input that is read and discarded after a final answer; any more is not read.",
          min = "0B", max = "16MiB") Size discard,
      @Setting(value = "Pause before the next attempt after a connection could not be accepted.",
          min = "1ms", max = "10s") Duration acceptPause,
      @Setting(value = "Maximum number of connections waiting to be accepted.",
          min = "1", max = "65535", restart = true) int backlog) {}

  /** The watch on the directory. */
  @Setting("The watch on the directory, by which the proxy receives updates.")
  public record Directory(
      @Setting(value = "Time without a complete line after which the watch is renewed. While bytes of a line come, the"
          + " watch is kept, and another one starts beside it.", min = "100ms", max = "10m")
      Duration silence,
      @Setting(value = "Time limit from a request to its first complete line; likewise. A line may take three times as"
          + " long.", min = "100ms", max = "10m")
      Duration firstAnswer,
      @Setting(value = "Pause before the next watch after a failure; doubled by each further failure, plus up to"
          + " 100 % jitter.", min = "1ms", max = "1m") Duration pause,
      @Setting(value = "Maximum of this pause, before jitter. Must not be less than `directory.pause`. Where lists are"
          + " pushed, both are at most an eighth of `rules.stop-sending-within` of the platform's JSON.",
          min = "1ms", max = "10m") Duration pauseMost) {}

  /** The defaults. */
  public static final OperatorConfig DEFAULT = new OperatorConfig(
      new Instance("", "", "", "", ""),
      new Log(LogSettings.DEFAULT.format(), LogSettings.DEFAULT.level(), LogSettings.DEFAULT.linesPerSecond(),
          LogSettings.DEFAULT.burst(), new Size(LogSettings.DEFAULT.queueBytes())),
      new Admin("", Duration.ofSeconds(5)),
      new Limits(1024),
      new Answers(duration(Timing.DEFAULT.answerMarginMicros()),
          duration(LineLimits.DEFAULT.shortageRetryAfterMicros())),
      new Silence(duration(Timing.DEFAULT.silenceTimeoutMicros()),
          duration(Timing.DEFAULT.sharedSilenceTimeoutMicros())),
      new Stop(duration(Timing.DEFAULT.stopAcceptMicros()), duration(Timing.DEFAULT.stopMoveDelayMicros()),
          duration(Timing.DEFAULT.maxStopMicros()), duration(Timing.DEFAULT.stopRetryAfterMicros())),
      new Line(duration(LineLimits.DEFAULT.firstLineTimeoutMicros()),
          duration(LineLimits.DEFAULT.malformedLingerMicros()), LineLimits.DEFAULT.maxPings()),
      new Sockets(duration(SocketLimits.DEFAULT.lingerMicros()), new Size(SocketLimits.DEFAULT.maxQueuedBytes()),
          new Size(SocketLimits.DEFAULT.maxDiscardedBytes()), duration(SocketLimits.DEFAULT.acceptPauseMicros()),
          SocketLimits.DEFAULT.backlog()),
      new Directory(duration(WatchTiming.DEFAULT.silenceTimeoutMicros()),
          duration(WatchTiming.DEFAULT.firstLineTimeoutMicros()), duration(WatchTiming.DEFAULT.initialPauseMicros()),
          duration(WatchTiming.DEFAULT.maxPauseMicros())));

  private static Duration duration(long micros) {
    return Duration.ofNanos(micros * 1000);
  }

  private static long micros(Duration duration) {
    return duration.toNanos() / 1000;
  }

  /** Returns the contradictions between keys: a message by path of the key at which it is reported. */
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
      found.put("log.burst", "is less than log.rate, which could never be reached");
    }
    return found;
  }

  /** Returns these values, except that keys that require a restart have the values of {@code other}. */
  public OperatorConfig withRestartKeysOf(OperatorConfig other) {
    if (ProxyConfig.keysNeedingRestart(other, this).isEmpty()) {
      return this;
    }
    Map<String, Object> values = OperatorSchema.SCHEMA.values(this);
    Map<String, Object> otherValues = OperatorSchema.SCHEMA.values(other);
    OperatorSchema.SCHEMA.keys().forEach((path, key) -> {
      if (key.setting().restart()) {
        values.put(path, otherValues.get(path));
      }
    });
    return OperatorSchema.SCHEMA.bind(values);
  }

  /** Returns the settings of the log. */
  public LogSettings logSettings() {
    return new LogSettings(log.format(), log.level(), log.rate(), log.burst(), (int) log.queue().bytes());
  }

  /** Returns the timing of the core. */
  public Timing coreTiming() {
    return new Timing(micros(answers.margin()), micros(silence.alone()), micros(silence.together()),
        micros(stop.routed()), micros(stop.hold()), micros(stop.longest()), micros(stop.advice()));
  }

  /** Returns the limits of the line front. */
  public LineLimits lineLimits() {
    return new LineLimits(micros(line.firstLine()), micros(line.badLinger()), line.pings(),
        micros(answers.crowdedAdvice()));
  }

  /** Returns the limits of connections, for the transport. */
  public SocketLimits socketLimits() {
    return new SocketLimits(micros(sockets.linger()), (int) sockets.queue().bytes(),
        (int) sockets.discard().bytes(), micros(sockets.acceptPause()), sockets.backlog());
  }

  /** Returns the timing of the directory watch. */
  public WatchTiming watchTiming() {
    return new WatchTiming(micros(directory.silence()), micros(directory.firstAnswer()), micros(directory.pause()),
        micros(directory.pauseMost()));
  }
}
