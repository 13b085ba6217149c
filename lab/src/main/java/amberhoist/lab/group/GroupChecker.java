package amberhoist.lab.group;

import amberhoist.rollout.Sequence.Change;
import amberhoist.rollout.Sequence.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Judges the histories of a group of members; it knows nothing of how they came about. */
final class GroupChecker {
  /** The rules. */
  enum Rule { ONE_DECISION, ONE_LEADER, ONE_ANSWER, ONCE, NEXT_VERSION, NO_RETURN, NOTHING_LOST, ENDED }

  /** One rule broken, at this time in microseconds. */
  record Violation(Rule rule, long at, String what) {}

  private final List<Violation> violations = new ArrayList<>();
  private final Map<Long, String> decided = new HashMap<>(); // by index of the log
  private final Map<Long, String> byVersion = new HashMap<>();
  private final Map<String, Long> byId = new HashMap<>();
  private final Map<Integer, String> leaders = new HashMap<>(); // by term
  private final Map<String, Long> inForce = new HashMap<>(); // by member, in its present life
  private final Map<String, Verdict> answers = new HashMap<>(); // told to operators
  private final Set<String> asked = new HashSet<>();

  private void broken(Rule rule, long at, String what) {
    violations.add(new Violation(rule, at, what));
  }

  /** A member begins a life: what it learns is learned anew. */
  void starts(String member) {
    inForce.remove(member);
  }

  /** A member has learned of an entry. */
  void applied(long at, String member, long index, Change change, Verdict verdict) {
    String what = change.id() + "@" + change.base();
    String before = decided.putIfAbsent(index, what);
    if (before != null && !before.equals(what)) {
      broken(Rule.ONE_DECISION, at, member + " learned " + what + " at " + index + ", another " + before);
    }
    if (verdict.taken()) {
      if (verdict.version() != change.base() + 1) {
        broken(Rule.NEXT_VERSION, at, what + " became version " + verdict.version());
      }
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

  /** A member decides by this version from now on. */
  void inForce(long at, String member, long version) {
    Long before = inForce.put(member, version);
    if (before != null && version < before) {
      broken(Rule.NO_RETURN, at, member + " returned from " + before + " to " + version);
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
    long latest = byVersion.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    versions.forEach((member, version) -> {
      if (version != latest) {
        broken(Rule.NOTHING_LOST, at, member + " ends at version " + version + " of " + latest);
      }
    });
  }

  List<Violation> violations() {
    return violations;
  }

  int answered() {
    return answers.size();
  }

  int taken() {
    return byVersion.size();
  }
}
