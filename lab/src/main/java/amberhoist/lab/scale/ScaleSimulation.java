package amberhoist.lab.scale;

import amberhoist.distribution.DistributionSettings;
import amberhoist.distribution.Message;
import amberhoist.distribution.wire.MessageCodec;
import amberhoist.distribution.wire.MessageCodec.MalformedMessageException;
import amberhoist.group.MemberId;
import amberhoist.lab.emulator.RandomSource;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.rollout.PolicyVersions.ChangeResult;
import amberhoist.rollout.PolicyVersions.PolicyChange;
import amberhoist.rollout.Rollout;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulates the control plane in virtual time, under faults drawn from a seed. */
public final class ScaleSimulation {
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
  private final List<MemberId> members = new ArrayList<>();
  private final List<ControlPlaneProxy> proxies = new ArrayList<>();
  private final Map<String, ControlPlaneProxy> proxiesByName = new HashMap<>();
  private final Map<String, Long> admittedBefore = new HashMap<>();
  private final OperatorSimulator operators;
  private final FaultInjector faultInjector;
  private final RandomSource random;
  private int withdrawnChanges;
  private long lastConcludedVersion;

  /** Creates a simulation with these settings. */
  public ScaleSimulation(ScaleSettings settings) {
    this.settings = settings;
    distribution = DistributionSettings.of("lab").withAdmissionsPerSecond(settings.admissionsPerSecond());
    random = new RandomSource(settings.seed(), 1);
    Topology topology = new Topology(settings);
    network = new Network(time, topology, settings.regions(), new RandomSource(settings.seed(), 2));
    checker = new ScaleChecker(START_MICROS, distribution.admissionsPerSecond());
    for (int i = 0; i < settings.controllers(); i++) {
      members.add(new MemberId(Topology.controllerName(i)));
    }
    for (int i = 0; i < settings.controllers(); i++) {
      ControllerMachine machine = new ControllerMachine(time, network, new ControllerEnvironment(), distribution,
          settings.mutant(), members.get(i), topology.zoneOfController(i), random);
      controllers.add(machine);
      controllersByName.put(machine.name(), machine);
    }
    for (int i = 0; i < settings.proxies(); i++) {
      ControlPlaneProxy proxy = new ControlPlaneProxy(time, i, topology, distribution, random, settings.mutant(),
          new ProxyEnvironment());
      proxies.add(proxy);
      proxiesByName.put(proxy.name(), proxy);
    }
    faultInjector = new FaultInjector(settings, time, new RandomSource(settings.seed(), 5), topology, network,
        controllers, proxies);
    operators = new OperatorSimulator(time, new RandomSource(settings.seed(), 4), controllers, checker, proxies,
        settings.documentBytes(), faultInjector::onChangeSent);
  }

  /** Schedules a task {@code delayMicros} after the end of the start-up phase. */
  void schedule(long delayMicros, Runnable task) {
    time.runAt(START_MICROS + SETTLE_MICROS + delayMicros, task);
  }

  /** Makes an operator request a change now. */
  void requestChange() {
    operators.requestChange();
  }

  Network network() {
    return network;
  }

  List<ControllerMachine> controllers() {
    return controllers;
  }

  List<ControlPlaneProxy> proxies() {
    return proxies;
  }

  /** Runs the simulation to its end. */
  public ScaleOutcome run() {
    controllers.forEach(ControllerMachine::start);
    proxies.forEach(proxy -> time.runAfter(random.nextBetween(0, SETTLE_MICROS / 2), proxy::start));
    long end = START_MICROS + SETTLE_MICROS + settings.durationSeconds() * SECOND;
    time.runAfter(SETTLE_MICROS, () -> {
      scheduleChange(end);
      faultInjector.start(end);
    });
    time.runAfter(SETTLE_MICROS + settings.durationSeconds() * SECOND / 2,
        () -> scheduleBurst(settings.burstChanges()));
    checkAdmissions();
    endByteWindow();
    time.runAt(end, faultInjector::endFaults);
    time.runUntil(end + RECOVERY_MICROS);
    checker.checkEnd(time.now(), proxies, controllers.get(0).member().rollout().isPending());
    return ScaleOutcome.collect(settings, checker, operators, withdrawnChanges, faultInjector, proxies, controllers,
        (time.now() - START_MICROS) / (double) SECOND, time.handledEvents());
  }

  private void scheduleChange(long end) {
    if (settings.changesPerDay() > 0) {
      time.runAfter((long) random.nextExponential((double) DAY_MICROS / settings.changesPerDay()), () -> {
        if (time.now() < end) {
          operators.requestChange();
          scheduleChange(end);
        }
      });
    }
  }

  private void scheduleBurst(int remaining) {
    if (remaining > 0) {
      operators.requestChange();
      time.runAfter(60 * SECOND / settings.burstChanges(), () -> scheduleBurst(remaining - 1));
    }
  }

  private void checkAdmissions() {
    for (ControllerMachine machine : controllers) {
      long admitted = machine.distributor() == null ? 0 : machine.distributor().counters().admitted();
      long before = admittedBefore.getOrDefault(machine.name(), 0L);
      checker.onAdmitted(time.now(), machine.name(), (int) (admitted - (admitted < before ? 0 : before)));
      admittedBefore.put(machine.name(), admitted);
    }
    time.runAfter(ADMISSION_CHECK_MICROS, this::checkAdmissions);
  }

  private void endByteWindow() {
    proxies.forEach(ControlPlaneProxy::endByteWindow);
    time.runAfter(BYTE_WINDOW_MICROS, this::endByteWindow);
  }

  private final class ControllerEnvironment implements ControllerMachine.Environment {
    @Override
    public ControllerMachine controller(String name) {
      return controllersByName.get(name);
    }

    @Override
    public List<MemberId> members() {
      return members;
    }

    @Override
    public List<MemberId> voters() {
      return members.subList(0, settings.voters());
    }

    @Override
    public void sendReply(ControllerMachine from, String name, Message.Reply reply) {
      byte[] bytes = codec.encode(reply);
      ControlPlaneProxy to = proxiesByName.get(name);
      int receiverLife = to.incarnation();
      from.countBytes(bytes.length);
      network.deliver(from, to, () -> {
        long startNanos = System.nanoTime();
        Message decoded = decode(bytes);
        to.addProcessorNanos(System.nanoTime() - startNanos);
        to.receive(receiverLife, from.name(), (Message.Reply) decoded, bytes.length);
      });
    }

    @Override
    public void onApplied(ControllerMachine at, byte[] command, ChangeResult result) {
      if (result != null && result.isAccepted()) {
        PolicyChange change = Rollout.decodeProposal(command);
        checker.onAccepted(result.version(), change.id(), change.document().getBytes(StandardCharsets.UTF_8));
      }
      Rollout rollout = at.member().rollout();
      if (!rollout.isPending() && rollout.latestVersion() > lastConcludedVersion) {
        lastConcludedVersion = rollout.latestVersion();
        if (rollout.inForceVersion() == rollout.latestVersion()) {
          checker.onInForce(rollout.inForceVersion());
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

  private final class ProxyEnvironment implements ControlPlaneProxy.Environment {
    @Override
    public void sendRequest(ControlPlaneProxy from, int life, String distributor, Message.Request request) {
      byte[] bytes = codec.encode(request);
      ControllerMachine to = controllersByName.get(distributor);
      from.countBytes(bytes.length);
      network.deliver(from, to, () -> {
        to.countBytes(bytes.length);
        to.execute(() -> {
          Message decoded = decode(bytes);
          to.distributor().onRequest(to.clockMicros(), from.name(), (Message.Request) decoded);
        });
      });
    }

    @Override
    public void onMessageHandled(ControlPlaneProxy proxy) {
      checker.checkProxy(time.now(), proxy, proxies);
    }
  }
}
