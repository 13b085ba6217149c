package amberhoist.lab.emulator;

import amberhoist.core.InvocationRequest;
import amberhoist.lab.experiment.Experiment.Type;

/** A client: it wants a connection for as long as it lives, and comes again until it has one. */
final class EmulatedClient {
  final Type type;
  final int typeIndex;
  final int tenantIndex;
  final int group;
  final String zone;
  private final World world;
  private final String key;
  private final String groupName;
  private final long wantsFrom;
  private final long wantsUntil;
  private final double usual;
  private final double patience; // which of the three kinds of client it is
  private Visit visit;
  private boolean returning;
  private int rejections;
  private double load;
  private final double shared; // the part of its worth that its account's share leaves it

  EmulatedClient(World world, long number, int typeIndex, int tenantIndex, int group, String zone, long life,
      double shared) {
    this.world = world;
    this.typeIndex = typeIndex;
    this.tenantIndex = tenantIndex;
    this.group = group;
    this.zone = zone;
    this.shared = shared;
    type = world.experiment.classes().get(typeIndex);
    key = Long.toHexString(number);
    groupName = "g" + group;
    usual = type.load().toNanos() / 1000.0 * world.chance.logNormal(type.spread());
    load = usual * world.chance.logNormal(type.swing());
    patience = world.chance.part();
    wantsFrom = world.time.now();
    wantsUntil = wantsFrom + life;
    world.time.at(wantsUntil, this::leave);
  }

  /** What its load is now, micros of work a second. */
  double load() {
    return load;
  }

  /** What a second of its connection is worth. */
  double worth() {
    return type.worth() * shared * (world.experiment.load().byWork() ? usual / world.usualLoad() : 1);
  }

  private boolean done() {
    return world.time.now() >= wantsUntil;
  }

  /** What it asks a proxy for. */
  InvocationRequest arrival() {
    return new InvocationRequest(type.name(), world.experiment.tenants().get(tenantIndex).name(), key, groupName,
        type.deadline().toMillis(), world.experiment.load().hints() ? usual : 0, false, returning, null);
  }

  /** Connects, unless it wants nothing any more. */
  void connect() {
    if (done() || visit != null) {
      return;
    }
    EmulatedProxy proxy = world.front(this);
    if (proxy == null) {
      again(world.backoff(1));
      return;
    }
    long now = world.time.now();
    long deadline = now + type.deadline().toNanos() / 1000;
    Visit mine = new Visit(this, proxy, now, deadline);
    visit = mine;
    world.figures.asked();
    world.time.after(world.clientDelay(), () -> proxy.arrive(mine));
    world.time.at(deadline, () -> giveUp(mine));
  }

  private void giveUp(Visit mine) {
    if (visit == mine && mine.answers == 0) {
      mine.gaveUp = true;
      visit = null;
      world.checker.unanswered(mine);
      world.time.after(world.clientDelay(), () -> mine.proxy.clientLeft(mine));
      again(world.backoff(++rejections));
    }
  }

  private void again(long micros) {
    world.time.after(micros, this::connect);
  }

  /** The proxy was not there. */
  void refused(Visit mine) {
    if (visit == mine) {
      visit = null;
      again(world.backoff(1));
    }
  }

  void rejected(Visit mine, long advice) {
    if (visit != mine) {
      return;
    }
    visit = null;
    rejections++;
    world.figures.rejected();
    if (patience < world.experiment.clients().atOnce()) {
      again(1000);
    } else if (advice > 0 && patience > 1 - world.experiment.clients().honour()) {
      again(advice);
    } else {
      again(world.backoff(rejections));
    }
  }

  void served(Visit mine) {
    if (visit != mine || mine.closed) {
      return;
    }
    rejections = 0;
    world.figures.served(this, world.time.now() - mine.sentAt);
    world.time.after(world.chance.between(0, world.messagePeriod()), () -> message(mine));
    world.time.after(changeAfter(), () -> change(mine));
    if (done()) {
      leave();
    }
  }

  /** A message, and its answer if one comes; each stands for the time until the next. */
  private void message(Visit mine) {
    if (visit != mine || mine.closed || mine.joined == null || !mine.proxy.holds(mine.joined)) {
      return;
    }
    Attempt attempt = mine.joined;
    mine.proxy.asked(attempt);
    EmulatedProvider provider = attempt.provider;
    if (provider.answers(mine.proxy)) {
      double micros = provider.messageTime(type);
      boolean inTime = micros <= type.message().toNanos() / 1000.0;
      if (inTime) {
        world.figures.good(this);
      }
      long way = world.delay(provider.zone, mine.proxy.zone);
      attempt.unansweredSince = 0;
      world.time.after(2 * way + (long) micros, () -> mine.proxy.returned(attempt));
    } else {
      world.checker.unanswered(attempt);
    }
    world.time.after(world.messagePeriod(), () -> message(mine));
  }

  private long changeAfter() {
    return (long) (world.chance.exponential(type.change().toNanos() / 1000.0));
  }

  private void change(Visit mine) {
    if (visit == mine && !mine.closed && mine.joined != null) {
      load = usual * world.chance.logNormal(type.swing());
      mine.joined.provider.loadChanged(mine.joined, load);
      world.time.after(changeAfter(), () -> change(mine));
    }
  }

  /** Its connection has ended: it was told to move, or was cut off. */
  void ended(Visit mine, boolean moved) {
    if (visit == mine) {
      visit = null;
      returning = true;
      world.figures.ended(moved);
      again(world.rejoin());
    }
  }

  void cut(Visit mine) {
    ended(mine, false);
  }

  /** Drops its connection by itself and comes again soon. */
  void drop(long comesBack) {
    if (visit != null) {
      Visit mine = visit;
      visit = null;
      returning = true;
      mine.gaveUp = true;
      world.time.after(world.clientDelay(), () -> mine.proxy.clientLeft(mine));
      again(comesBack);
    }
  }

  private void leave() {
    world.figures.wanted(this, wantsFrom, Math.min(world.time.now(), wantsUntil));
    world.gone(this);
    if (visit != null) {
      Visit mine = visit;
      visit = null;
      mine.gaveUp = true;
      world.time.after(world.clientDelay(), () -> mine.proxy.clientLeft(mine));
    }
  }

  /** The world ends while it still wants its connection. */
  void worldEnds() {
    world.figures.wanted(this, wantsFrom, world.time.now());
  }
}
