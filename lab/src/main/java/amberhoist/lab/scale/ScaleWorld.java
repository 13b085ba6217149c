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

/** One run of the control plane in virtual time. */
public final class ScaleWorld {
  private static final long START = 1_000_000_000_000L; // micros
  private static final long SECOND = 1_000_000;
  private static final long DAY = 86_400 * SECOND;
  private static final long SETTLE = 10 * SECOND; // before the first change and fault
  private static final long QUIET = 30 * SECOND; // at the end, with all whole
  private static final long WINDOW = 10 * SECOND; // over which a proxy's bytes are counted
  private static final long LOOK = SECOND; // at what distributors have admitted

  private final ScaleSettings settings;
  private final DistributionSettings distribution;
  private final VirtualTime time = new VirtualTime(START);
  private final Network network;
  private final ScaleChecker checker;
  private final MessageCodec codec = new MessageCodec();
  private final List<ControllerMachine> controllers = new ArrayList<>();
  private final Map<String, ControllerMachine> byName = new HashMap<>();
  private final List<Member> members = new ArrayList<>();
  private final List<HollowProxy> proxies = new ArrayList<>();
  private final Map<String, HollowProxy> proxiesByName = new HashMap<>();
  private final Map<String, Long> admittedBefore = new HashMap<>();
  private final Operators operators;
  private final Disturbance disturbance;
  private final Chance chance;
  private int withdrawn;
  private long concludedUpTo;

  /** A run by these settings. */
  public ScaleWorld(ScaleSettings settings) {
    this.settings = settings;
    distribution = DistributionSettings.of("lab").withAdmissions(settings.admissionsPerSecond());
    chance = new Chance(settings.seed(), 1);
    Topology topology = new Topology(settings);
    network = new Network(time, topology, settings.regions(), new Chance(settings.seed(), 2));
    checker = new ScaleChecker(START, distribution.admissionsPerSecond());
    for (int i = 0; i < settings.controllers(); i++) {
      members.add(new Member(Topology.controllerName(i)));
    }
    for (int i = 0; i < settings.controllers(); i++) {
      ControllerMachine machine = new ControllerMachine(time, network, new ControllerSide(), distribution,
          settings.mutant(), members.get(i), topology.zoneOfController(i), chance);
      controllers.add(machine);
      byName.put(machine.name(), machine);
    }
    for (int i = 0; i < settings.proxies(); i++) {
      HollowProxy proxy = new HollowProxy(time, i, topology, distribution, chance, settings.mutant(), new ProxySide());
      proxies.add(proxy);
      proxiesByName.put(proxy.name(), proxy);
    }
    disturbance = new Disturbance(settings, time, new Chance(settings.seed(), 5), topology, network, controllers,
        proxies);
    operators = new Operators(time, new Chance(settings.seed(), 4), controllers, checker, proxies,
        settings.documentBytes(), disturbance::changeBegins);
  }

  /** Has this done so many micros after all has settled. */
  void at(long after, Runnable task) {
    time.at(START + SETTLE + after, task);
  }

  /** Has an operator order a change now. */
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

  /** Runs it to its end. */
  public ScaleOutcome run() {
    controllers.forEach(ControllerMachine::start);
    proxies.forEach(proxy -> time.after(chance.between(0, SETTLE / 2), proxy::start));
    long end = START + SETTLE + settings.seconds() * SECOND;
    time.after(SETTLE, () -> {
      nextChange(end);
      disturbance.begin(end);
    });
    time.after(SETTLE + settings.seconds() * SECOND / 2, () -> burst(settings.burst()));
    look();
    window();
    time.at(end, disturbance::heal);
    time.runUntil(end + QUIET);
    checker.ends(time.now(), proxies, controllers.get(0).member().rollout().pending());
    return ScaleOutcome.of(settings, checker, operators, withdrawn, disturbance, proxies, controllers,
        (time.now() - START) / (double) SECOND, time.handled());
  }

  private void nextChange(long end) {
    if (settings.changesPerDay() > 0) {
      time.after((long) chance.exponential((double) DAY / settings.changesPerDay()), () -> {
        if (time.now() < end) {
          operators.order();
          nextChange(end);
        }
      });
    }
  }

  private void burst(int left) {
    if (left > 0) {
      operators.order();
      time.after(60 * SECOND / settings.burst(), () -> burst(left - 1));
    }
  }

  private void look() {
    for (ControllerMachine machine : controllers) {
      long admitted = machine.distributor() == null ? 0 : machine.distributor().counters().admitted();
      long before = admittedBefore.getOrDefault(machine.name(), 0L);
      checker.admitted(time.now(), machine.name(), (int) (admitted - (admitted < before ? 0 : before)));
      admittedBefore.put(machine.name(), admitted);
    }
    time.after(LOOK, this::look);
  }

  private void window() {
    proxies.forEach(HollowProxy::endWindow);
    time.after(WINDOW, this::window);
  }

  private final class ControllerSide implements ControllerMachine.Surroundings {
    @Override
    public ControllerMachine controller(String name) {
      return byName.get(name);
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
      int life = to.life();
      from.counted(bytes.length);
      network.carry(from, to, () -> {
        long before = System.nanoTime();
        Message decoded = decode(bytes);
        to.worked(System.nanoTime() - before);
        to.receive(life, from.name(), (Message.Reply) decoded, bytes.length);
      });
    }

    @Override
    public void applied(ControllerMachine at, byte[] command, Verdict verdict) {
      if (verdict != null && verdict.taken()) {
        Change change = Rollout.proposed(command);
        checker.began(verdict.version(), change.id(), change.document().getBytes(StandardCharsets.UTF_8));
      }
      Rollout rollout = at.member().rollout();
      if (!rollout.pending() && rollout.latest() > concludedUpTo) {
        concludedUpTo = rollout.latest();
        if (rollout.inForce() == rollout.latest()) {
          checker.inForce(rollout.inForce());
        } else {
          withdrawn++;
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

  private final class ProxySide implements HollowProxy.Surroundings {
    @Override
    public void request(HollowProxy from, int life, String distributor, Message.Request request) {
      byte[] bytes = codec.encode(request);
      ControllerMachine to = byName.get(distributor);
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
