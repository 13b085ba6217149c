package amberhoist.lab.scale;

import amberhoist.distribution.DistributionSettings;
import amberhoist.distribution.Message;
import amberhoist.distribution.wire.MessageCodec;
import amberhoist.distribution.wire.MessageCodec.MalformedMessageException;
import amberhoist.group.Member;
import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.rollout.Rollout;
import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulates the control plane in virtual time, under faults drawn from a seed. */
public final class ScaleWorld {
  private static final long START_MICROS = 1_000_000_000_000L;
  private static final long SECOND = 1_000_000; // in microseconds, as all times here
  private static final long DAY_MICROS = 86_400 * SECOND;
  private static final long SETTLE_MICROS = 10 * SECOND; // before the first change and fault
  private static final long RECOVERY_MICROS = 30 * SECOND; // fault-free time at the end of a run
  private static final long BYTE_WINDOW_MICROS = 10 * SECOND;
  private static final long ADMISSION_CHECK_MICROS = SECOND;

  private final ScaleSettings settings;
  private final DistributionSettings distribution;
  private final VirtualTime time = new VirtualTime(START_MICROS);
  private final Network network;
  private final ScaleChecker checker;
  private final MessageCodec codec = new MessageCodec();
  private final List<ControllerMachine> controllers = new ArrayList<>();
  private final Map<String, ControllerMachine> controllersByName = new HashMap<>();
  private final List<Member> members = new ArrayList<>();
  private final List<HollowProxy> proxies = new ArrayList<>();
  private final Map<String, HollowProxy> proxiesByName = new HashMap<>();
  private final Map<String, Long> admittedBefore = new HashMap<>();
  private final Operators operators;
  private final Disturbance faultInjector;
  private final Chance random;
  private int withdrawnChanges;
  private long lastConcludedVersion;

  /** Creates a simulation with these settings. */
  public ScaleWorld(ScaleSettings settings) {
    this.settings = settings;
    distribution = DistributionSettings.of("lab").withAdmissions(settings.admissionsPerSecond());
    random = new Chance(settings.seed(), 1);
    Topology topology = new Topology(settings);
    network = new Network(time, topology, settings.regions(), new Chance(settings.seed(), 2));
    checker = new ScaleChecker(START_MICROS, distribution.admissionsPerSecond());
    for (int i = 0; i < settings.controllers(); i++) {
      members.add(new Member(Topology.controllerName(i)));
    }
    for (int i = 0; i < settings.controllers(); i++) {
      ControllerMachine machine = new ControllerMachine(time, network, new ControllerEnvironment(), distribution,
          settings.mutant(), members.get(i), topology.zoneOfController(i), random);
      controllers.add(machine);
      controllersByName.put(machine.name(), machine);
    }
    for (int i = 0; i < settings.proxies(); i++) {
      HollowProxy proxy = new HollowProxy(time, i, topology, distribution, random, settings.mutant(),
          new ProxyEnvironment());
      proxies.add(proxy);
      proxiesByName.put(proxy.name(), proxy);
    }
    faultInjector = new Disturbance(settings, time, new Chance(settings.seed(), 5), topology, network, controllers,
        proxies);
    operators = new Operators(time, new Chance(settings.seed(), 4), controllers, checker, proxies,
        settings.documentBytes(), faultInjector::changeBegins);
  }

  /** Schedules a task {@code delayMicros} after the end of the start-up phase. */
  void at(long delayMicros, Runnable task) {
    time.at(START_MICROS + SETTLE_MICROS + delayMicros, task);
  }

  /** Makes an operator request a change now. */
  void order() {
    operators.order();
  }

  Network network() {
    return network;
  }

  List<ControllerMachine> controllers() {
    return controllers;
  }

  List<HollowProxy> proxies() {
    return proxies;
  }

  /** Runs the simulation to its end. */
  public ScaleOutcome run() {
    controllers.forEach(ControllerMachine::start);
    proxies.forEach(proxy -> time.after(random.between(0, SETTLE_MICROS / 2), proxy::start));
    long end = START_MICROS + SETTLE_MICROS + settings.seconds() * SECOND;
    time.after(SETTLE_MICROS, () -> {
      scheduleChange(end);
      faultInjector.begin(end);
    });
    time.after(SETTLE_MICROS + settings.seconds() * SECOND / 2, () -> scheduleBurst(settings.burst()));
    checkAdmissions();
    endByteWindow();
    time.at(end, faultInjector::heal);
    time.runUntil(end + RECOVERY_MICROS);
    checker.ends(time.now(), proxies, controllers.get(0).member().rollout().pending());
    return ScaleOutcome.of(settings, checker, operators, withdrawnChanges, faultInjector, proxies, controllers,
        (time.now() - START_MICROS) / (double) SECOND, time.handled());
  }

  private void scheduleChange(long end) {
    if (settings.changesPerDay() > 0) {
      time.after((long) random.exponential((double) DAY_MICROS / settings.changesPerDay()), () -> {
        if (time.now() < end) {
          operators.order();
          scheduleChange(end);
        }
      });
    }
  }

  private void scheduleBurst(int remaining) {
    if (remaining > 0) {
      operators.order();
      time.after(60 * SECOND / settings.burst(), () -> scheduleBurst(remaining - 1));
    }
  }

  private void checkAdmissions() {
    for (ControllerMachine machine : controllers) {
      long admitted = machine.distributor() == null ? 0 : machine.distributor().counters().admitted();
      long before = admittedBefore.getOrDefault(machine.name(), 0L);
      checker.admitted(time.now(), machine.name(), (int) (admitted - (admitted < before ? 0 : before)));
      admittedBefore.put(machine.name(), admitted);
    }
    time.after(ADMISSION_CHECK_MICROS, this::checkAdmissions);
  }

  private void endByteWindow() {
    proxies.forEach(HollowProxy::endWindow);
    time.after(BYTE_WINDOW_MICROS, this::endByteWindow);
  }

  private final class ControllerEnvironment implements ControllerMachine.Surroundings {
    @Override
    public ControllerMachine controller(String name) {
      return controllersByName.get(name);
    }

    @Override
    public List<Member> members() {
      return members;
    }

    @Override
    public List<Member> voters() {
      return members.subList(0, settings.voters());
    }

    @Override
    public void reply(ControllerMachine from, String name, Message.Reply reply) {
      byte[] bytes = codec.encode(reply);
      HollowProxy to = proxiesByName.get(name);
      int receiverLife = to.life();
      from.counted(bytes.length);
      network.carry(from, to, () -> {
        long startNanos = System.nanoTime();
        Message decoded = decode(bytes);
        to.worked(System.nanoTime() - startNanos);
        to.receive(receiverLife, from.name(), (Message.Reply) decoded, bytes.length);
      });
    }

    @Override
    public void applied(ControllerMachine at, byte[] command, Verdict verdict) {
      if (verdict != null && verdict.taken()) {
        Change change = Rollout.proposed(command);
        checker.began(verdict.version(), change.id(), change.document().getBytes(StandardCharsets.UTF_8));
      }
      Rollout rollout = at.member().rollout();
      if (!rollout.pending() && rollout.latest() > lastConcludedVersion) {
        lastConcludedVersion = rollout.latest();
        if (rollout.inForce() == rollout.latest()) {
          checker.inForce(rollout.inForce());
        } else {
          withdrawnChanges++;
        }
      }
    }
  }

  private Message decode(byte[] bytes) {
    try {
      return codec.decode(bytes);
    } catch (MalformedMessageException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  private final class ProxyEnvironment implements HollowProxy.Surroundings {
    @Override
    public void request(HollowProxy from, int life, String distributor, Message.Request request) {
      byte[] bytes = codec.encode(request);
      ControllerMachine to = controllersByName.get(distributor);
      from.counted(bytes.length);
      network.carry(from, to, () -> {
        to.counted(bytes.length);
        to.execute(() -> {
          Message decoded = decode(bytes);
          to.distributor().receive(to.clock(), from.name(), (Message.Request) decoded);
        });
      });
    }

    @Override
    public void observed(HollowProxy proxy) {
      checker.observe(time.now(), proxy, proxies);
    }
  }
}
