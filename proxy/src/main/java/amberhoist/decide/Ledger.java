package amberhoist.decide;

import amberhoist.decide.Balancer.Request;
import amberhoist.decide.Balancer.RequestClass;
import amberhoist.decide.Balancer.Server;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What {@link Policy} keeps in mind: plain records and counts that decide nothing, private to the module. */
final class Ledger {
  private static final long NEVER = Long.MIN_VALUE / 2; // the clock may begin at 0

  private Ledger() {}

  /** What this balancer knows of a server. */
  static final class Node {
    Server info;
    boolean ready;
    double weight;
    double rank; // for the group whose order is being drawn up
    int open;
    double load;
    final Map<Group, Integer> groups = new HashMap<>(); // connections of each held here
    int settingUp;
    int strikes;
    long avoidUntil;
    boolean sheds; // has dropped a connection just set up, and kept none since
    long provenAt = Long.MAX_VALUE; // when the latest one let in on trial will have been kept
    double slow;
    long slowAt;
    long trialAt; // when it got a connection while it had none
    double growth; // of it, a second for each second: what is asked beyond what the server can do
    long relievedAt;
    boolean cold;
    double luck; // how many connections it may hold beyond its due while cold
    double cap = Double.MAX_VALUE;
    long tryAt = Long.MAX_VALUE; // called back by hand and not proven since: when it gets one connection
    double budget;
    long budgetAt;
    double heat; // of what it can do, asked of it: as its latest report said
    long toldAt = NEVER; // when that came
    long askedAt = NEVER;

    /** Whether a report is no older than this. */
    boolean known(long now, long age) {
      return now - toldAt < age;
    }

    /** Counts so many more of a group's connections; how many more groups are held here by that. */
    int hold(Group group, int more) {
      int before = groups.size();
      if (groups.merge(group, more, Integer::sum) == 0) {
        groups.remove(group);
      }
      return groups.size() - before;
    }

    boolean onTrial(long now) {
      return sheds && provenAt < Long.MAX_VALUE && now < provenAt;
    }
  }

  /** The affinity entry of a client. */
  record Entry(Node node, long lastUsed) {}

  /** A group of connections: requests seen, the turn of its walks and its own rotation. */
  static final class Group {
    List<Node> order;
    double seen;
    private double turn;

    Group(double turn) {
      this.turn = turn;
    }

    /** Sees one more request; its turn, a step behind the one before. */
    double meet(double step) {
      seen++;
      turn = (turn + step) % 1;
      return turn;
    }
  }

  /** A number from 0, exclusive, to 1 that is the same for the same two names everywhere, and looks like chance. */
  static double mix(String first, String second) {
    long mixed = first.hashCode() * 0x9E3779B97F4A7C15L;
    mixed ^= second.hashCode() * 0xC2B2AE3D27D4EB4FL;
    mixed = (mixed ^ mixed >>> 29) * 0xBF58476D1CE4E5B9L;
    return Math.max(((mixed ^ mixed >>> 32) >>> 11) / (double) (1L << 53), 1e-15);
  }

  /** How many come in a microsecond, of late. */
  static final class Rate {
    private final double memory; // microseconds
    private double value;
    private long at;

    Rate(double memory) {
      this.memory = memory;
    }

    double at(long now) {
      value *= Math.exp((at - now) / memory);
      at = now;
      return value;
    }

    void add(long now, double count) {
      value = at(now) + count / memory;
    }
  }

  /** The usual load of a class, from the loads told so far. */
  static final class Usual {
    double load;
    int told;

    void learn(double next, int kept) {
      told++;
      load += (next - load) / Math.min(told, kept);
    }
  }

  /** A request from its arrival to the end of its connection. */
  static final class Job {
    Request request;
    RequestClass type;
    Group group;
    double load;
    double turn;
    boolean told; // the load, by its server or as a hint
    long arrived;
    long openedAt;
    int attempts;
    int out;
    boolean open;
    boolean answered;
    boolean reset;
    boolean moved;
    boolean foreign; // not at a home of its group
    boolean mayHaveRun;
    long ranAt;
    Server ranOn;
    Node node;
    Node failedOn;
    int errors;
    Node accused; // struck for this request's first error
  }
}
