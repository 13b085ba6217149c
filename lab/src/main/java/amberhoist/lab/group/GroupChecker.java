package amberhoist.lab.group;

import amberhoist.rollout.Rollout;
import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Judges the histories of a group of members; it knows nothing of how they came about. */
final class GroupChecker {
  /** The rules. */
  enum Rule { ONE_DECISION, ONE_LEADER, ONE_ANSWER, ONCE, NEXT_VERSION, ONE_VERSION, NOTHING_LOST, ENDED }

  /** One rule broken, at this time in microseconds. */
  record Violation(Rule rule, long at, String what) {}

  private static final long LEASELESS = 10_000_000; // micros; a lease may run out now and then where messages get lost

  private final List<Violation> violations = new ArrayList<>();
  private final Map<Long, String> decided = new HashMap<>(); // by index of the log
  private final Map<Long, String> byVersion = new HashMap<>();
  private final Map<String, Long> byId = new HashMap<>();
  private final Map<Integer, String> leaders = new HashMap<>(); // by term
  private final Map<String, Long> decidedAt = new HashMap<>(); // by member: when it last had a version to decide by
  private final Map<Long, Long> begunAt = new HashMap<>(); // by version
  private final List<Long> waits = new ArrayList<>(); // from begun to the first that decides by it
  private long highest = -1; // version that any member has decided by
  private final Map<String, Verdict> answers = new HashMap<>(); // told to operators
  private final Set<String> asked = new HashSet<>();

  private void broken(Rule rule, long at, String what) {
    violations.add(new Violation(rule, at, what));
  }

  /** A member has learned of an entry. */
  void applied(long at, String member, long index, byte[] command, Verdict verdict) {
    Change change = verdict == null ? null : Rollout.proposed(command);
    String what = change == null ? Arrays.toString(command) : change.id() + "@" + change.base();
    String before = decided.putIfAbsent(index, what);
    if (before != null && !before.equals(what)) {
      broken(Rule.ONE_DECISION, at, member + " learned " + what + " at " + index + ", another " + before);
    }
    if (change != null && verdict.taken()) {
      if (verdict.version() != change.base() + 1) {
        broken(Rule.NEXT_VERSION, at, what + " became version " + verdict.version());
      }
      begunAt.putIfAbsent(verdict.version(), at);
      String other = byVersion.putIfAbsent(verdict.version(), change.id());
      if (other != null && !other.equals(change.id())) {
        broken(Rule.ONE_DECISION, at, "version " + verdict.version() + " is " + change.id() + " and " + other);
      }
      Long first = byId.putIfAbsent(change.id(), verdict.version());
      if (first != null && first != verdict.version()) {
        broken(Rule.ONCE, at, change.id() + " became " + first + " and " + verdict.version());
      }
    }
  }

  /** A member would decide by this version now; -1 for by none. Once one decides by a newer, none may by an older. */
  void decides(long at, String member, long version) {
    if (version >= 0 && version < highest) {
      broken(Rule.ONE_VERSION, at, member + " decides by " + version + " after another by " + highest);
    }
    if (version > Math.max(0, highest)) {
      waits.add(at - begunAt.getOrDefault(version, at));
    }
    highest = Math.max(highest, version);
    if (version >= 0) {
      decidedAt.put(member, at);
    }
  }

  /** A member leads in this term, as far as another knows. */
  void leads(long at, int term, String leader) {
    String other = leaders.putIfAbsent(term, leader);
    if (other != null && !other.equals(leader)) {
      broken(Rule.ONE_LEADER, at, "term " + term + " was led by " + other + " and " + leader);
    }
  }

  void asked(Change change) {
    asked.add(change.id());
  }

  /** An operator was told what became of a change. */
  void answered(long at, Change change, Verdict verdict) {
    Verdict before = answers.putIfAbsent(change.id(), verdict);
    if (before != null && !before.equals(verdict)) {
      broken(Rule.ONE_ANSWER, at, change.id() + " was answered " + before + " and " + verdict);
    }
  }

  /** All links have been whole for long: every change has ended, and what was acknowledged is in force everywhere. */
  void ends(long at, Map<String, Long> versions) {
    for (String id : asked) {
      if (!answers.containsKey(id)) {
        broken(Rule.ENDED, at, id + " never got an answer");
      }
    }
    answers.forEach((id, verdict) -> {
      Long version = byId.get(id);
      if (!verdict.taken() && version != null) {
        broken(Rule.ONCE, at, id + " was told that it lost, and became " + version);
      }
      if (verdict.taken() && (version == null || version != verdict.version())) {
        broken(Rule.NOTHING_LOST, at, id + " was acknowledged as " + verdict.version() + ", and is " + version);
      }
    });
    versions.forEach((member, version) -> {
      if (version != highest) {
        broken(Rule.ENDED, at, member + " ends by version " + version + ", and one decided by " + highest);
      }
      if (at - decidedAt.getOrDefault(member, 0L) > LEASELESS) {
        broken(Rule.ENDED, at, member + " has had no lease for long, though all is whole");
      }
    });
  }

  List<Violation> violations() {
    return violations;
  }

  int taken() {
    return byVersion.size();
  }

  /** For each change that came in force, micros from its entry in the log until a member decided by it. */
  List<Long> waits() {
    return waits;
  }
}
