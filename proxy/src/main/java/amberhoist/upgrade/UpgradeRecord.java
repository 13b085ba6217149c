package amberhoist.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The record that the processes of one proxy share during an upgrade. Changes return a copy.
 *
 * @param suspended the names of the suspended providers
 * @param members the processes, in the order in which they started
 * @param bindings the providers of the clients that the process that stopped last has moved away, by client key, until
 *     the process that they are moved to takes them
 */
public record UpgradeRecord(Set<String> suspended, List<Member> members, Map<String, String> bindings) {
  /** A record without content. */
  public static final UpgradeRecord EMPTY = new UpgradeRecord(Set.of(), List.of(), Map.of());

  /**
   * A process of the proxy.
   *
   * @param token its unique id, new for each start
   * @param pid its process id
   * @param ready whether it serves
   * @param descriptors the number of file descriptors that it holds
   */
  public record Member(String token, long pid, boolean ready, int descriptors) {}

  /** A copy in which this provider is suspended or resumed. */
  public UpgradeRecord with(String provider, boolean isSuspended) {
    Set<String> names = new TreeSet<>(suspended);
    if (isSuspended) {
      names.add(provider);
    } else {
      names.remove(provider);
    }
    return new UpgradeRecord(names, members, bindings);
  }

  /** A copy in which this entry replaces the one with the same token, or is added at the end if there is none. */
  public UpgradeRecord with(Member member) {
    List<Member> all = new ArrayList<>(members);
    for (int i = 0; i < all.size(); i++) {
      if (all.get(i).token().equals(member.token())) {
        all.set(i, member);
        return new UpgradeRecord(suspended, all, bindings);
      }
    }
    all.add(member);
    return new UpgradeRecord(suspended, all, bindings);
  }

  /** A copy with only the members that match. */
  public UpgradeRecord filterMembers(Predicate<Member> predicate) {
    return new UpgradeRecord(suspended, members.stream().filter(predicate).toList(), bindings);
  }

  /** A copy with these bindings in place of the current ones. */
  public UpgradeRecord withBindings(Map<String, String> newBindings) {
    return new UpgradeRecord(suspended, members, newBindings);
  }

  /** The process that serves and started last before the one with this token. */
  public Optional<Member> predecessorOf(String token) {
    Member predecessor = null;
    for (Member member : members) {
      if (member.token().equals(token)) {
        return Optional.ofNullable(predecessor);
      }
      predecessor = member.ready() ? member : predecessor;
    }
    return Optional.empty();
  }

  /** The processes whose predecessor is the one with this token. */
  public List<Member> successorsOf(String token) {
    return members.stream()
        .filter(member -> predecessorOf(member.token()).map(Member::token).filter(token::equals).isPresent()).toList();
  }

  /** Whether a process that started after the one with this token serves. */
  public boolean hasSuccessor(String token) {
    boolean isLater = false;
    for (Member member : members) {
      if (isLater && member.ready()) {
        return true;
      }
      isLater |= member.token().equals(token);
    }
    return false;
  }
}
