package amberhoist.lab.group;

import amberhoist.rollout.PolicyVersions.ChangeResult;
import amberhoist.rollout.PolicyVersions.PolicyChange;
import amberhoist.rollout.Rollout;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks the recorded histories of a group's members against the rules, independently of how they came about. */
final class GroupChecker {
  /** The rules that a history must not violate. */
  enum Rule { ONE_DECISION, ONE_LEADER, ONE_ANSWER, ONCE, NEXT_VERSION, ONE_VERSION, NOTHING_LOST, ENDED }

  /** A violation of a rule, with its time in microseconds. */
  record Violation(Rule rule, long atMicros, String description) {}

  private static final long MAX_MICROS_WITHOUT_LEASE = 10_000_000; // lost messages may let a lease expire

  private final List<Violation> violations = new ArrayList<>();
  private final Map<Long, String> commandByIndex = new HashMap<>(); // index in the log
  private final Map<Long, String> changeByVersion = new HashMap<>();
  private final Map<String, Long> versionByChange = new HashMap<>();
  private final Map<Integer, String> leaderByTerm = new HashMap<>();
  private final Map<String, Long> lastUsableAt = new HashMap<>(); // by member
  private final Map<Long, Long> acceptedAt = new HashMap<>(); // by version
  private final List<Long> activationDelays = new ArrayList<>(); // from acceptance to first use
  private long highestVersion = -1; // that any member has decided by
  private final Map<String, ChangeResult> resultByChange = new HashMap<>(); // as sent to operators
  private final Set<String> requestedChanges = new HashSet<>();

  private void report(Rule rule, long atMicros, String description) {
    violations.add(new Violation(rule, atMicros, description));
  }

  /** A member has applied an entry of the log; {@code result} is null unless it proposes a change. */
  void onApplied(long atMicros, String member, long index, byte[] command, ChangeResult result) {
    PolicyChange change = result == null ? null : Rollout.decodeProposal(command);
    String description = change == null ? Arrays.toString(command) : change.id() + "@" + change.baseVersion();
    String previous = commandByIndex.putIfAbsent(index, description);
    if (previous != null && !previous.equals(description)) {
      report(Rule.ONE_DECISION, atMicros,
          member + " learned " + description + " at " + index + ", another " + previous);
    }
    if (change != null && result.isAccepted()) {
      if (result.version() != change.baseVersion() + 1) {
        report(Rule.NEXT_VERSION, atMicros, description + " became version " + result.version());
      }
      acceptedAt.putIfAbsent(result.version(), atMicros);
      String otherChange = changeByVersion.putIfAbsent(result.version(), change.id());
      if (otherChange != null && !otherChange.equals(change.id())) {
        report(Rule.ONE_DECISION, atMicros,
            "version " + result.version() + " is " + change.id() + " and " + otherChange);
      }
      Long firstVersion = versionByChange.putIfAbsent(change.id(), result.version());
      if (firstVersion != null && firstVersion != result.version()) {
        report(Rule.ONCE, atMicros, change.id() + " became " + firstVersion + " and " + result.version());
      }
    }
  }

  /**
   * Checks the version that a member may decide by now, or -1 for none. Once a member decides by a version, no member
   * may decide by an older one.
   */
  void checkUsableVersion(long atMicros, String member, long version) {
    if (version >= 0 && version < highestVersion) {
      report(Rule.ONE_VERSION, atMicros, member + " decides by " + version + " after another by " + highestVersion);
    }
    if (version > Math.max(0, highestVersion)) {
      activationDelays.add(atMicros - acceptedAt.getOrDefault(version, atMicros));
    }
    highestVersion = Math.max(highestVersion, version);
    if (version >= 0) {
      lastUsableAt.put(member, atMicros);
    }
  }

  /** Checks a member's view of who leads in a term. */
  void checkLeader(long atMicros, int term, String leader) {
    String otherLeader = leaderByTerm.putIfAbsent(term, leader);
    if (otherLeader != null && !otherLeader.equals(leader)) {
      report(Rule.ONE_LEADER, atMicros, "term " + term + " was led by " + otherLeader + " and " + leader);
    }
  }

  /** An operator has requested a change. */
  void onRequested(PolicyChange change) {
    requestedChanges.add(change.id());
  }

  /** An operator has received the result of a change. */
  void onAnswered(long atMicros, PolicyChange change, ChangeResult result) {
    ChangeResult previous = resultByChange.putIfAbsent(change.id(), result);
    if (previous != null && !previous.equals(result)) {
      report(Rule.ONE_ANSWER, atMicros, change.id() + " was answered " + previous + " and " + result);
    }
  }

  /**
   * Checks the end of a run, after a long time without faults: every change has ended, and the latest acknowledged
   * change is in force everywhere.
   *
   * @param versions version in force by member, or -1 while a change is pending there
   */
  void checkEnd(long atMicros, Map<String, Long> versions) {
    for (String id : requestedChanges) {
      if (!resultByChange.containsKey(id)) {
        report(Rule.ENDED, atMicros, id + " never got an answer");
      }
    }
    resultByChange.forEach((id, result) -> {
      Long version = versionByChange.get(id);
      if (!result.isAccepted() && version != null) {
        report(Rule.ONCE, atMicros, id + " was told that it lost, and became " + version);
      }
      if (result.isAccepted() && (version == null || version != result.version())) {
        report(Rule.NOTHING_LOST, atMicros, id + " was acknowledged as " + result.version() + ", and is " + version);
      }
    });
    versions.forEach((member, version) -> {
      if (version != highestVersion) {
        report(Rule.ENDED, atMicros, member + " ends by version " + version + ", and one decided by " + highestVersion);
      }
      if (atMicros - lastUsableAt.getOrDefault(member, 0L) > MAX_MICROS_WITHOUT_LEASE) {
        report(Rule.ENDED, atMicros, member + " has had no lease for long, though all is whole");
      }
    });
  }

  List<Violation> violations() {
    return violations;
  }

  /** Number of changes that became a version. */
  int acceptedChangeCount() {
    return changeByVersion.size();
  }

  /** For each change that came into force, microseconds from its log entry until a member first decided by it. */
  List<Long> activationDelaysMicros() {
    return activationDelays;
  }
}
