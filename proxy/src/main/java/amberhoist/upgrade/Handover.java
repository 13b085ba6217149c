package amberhoist.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * What the processes of one proxy keep for one another.
 *
 * @param suspended the providers that are taken out
 * @param members the processes, in the order of their starts
 * @param bindings where the clients stood that the last process to leave has sent away, by their keys
 */
public record Handover(Set<String> suspended, List<Member> members, Map<String, String> bindings) {
  /** Nothing known. */
  public static final Handover EMPTY = new Handover(Set.of(), List.of(), Map.of());

  /**
   * A process of the proxy.
   *
   * @param token its own, new for each start
   * @param pid its number
   * @param ready whether it serves
   * @param descriptors how many it holds
   */
  public record Member(String token, long pid, boolean ready, int descriptors) {}

  /** The same with this provider taken out, or called back. */
  public Handover with(String provider, boolean out) {
    Set<String> names = new TreeSet<>(suspended);
    if (out) {
      names.add(provider);
    } else {
      names.remove(provider);
    }
    return new Handover(names, members, bindings);
  }

  /** The same with this in place of what the process last said of itself; a new one comes last. */
  public Handover with(Member member) {
    List<Member> all = new ArrayList<>(members);
    for (int i = 0; i < all.size(); i++) {
      if (all.get(i).token().equals(member.token())) {
        all.set(i, member);
        return new Handover(suspended, all, bindings);
      }
    }
    all.add(member);
    return new Handover(suspended, all, bindings);
  }

  /** The same with these members only. */
  public Handover keeping(Predicate<Member> which) {
    return new Handover(suspended, members.stream().filter(which).toList(), bindings);
  }

  /** The same with these bindings in place of the last. */
  public Handover binding(Map<String, String> clients) {
    return new Handover(suspended, members, clients);
  }

  /** Whether a process that started after this one serves. */
  public boolean succeeded(String token) {
    boolean after = false;
    for (Member member : members) {
      if (after && member.ready()) {
        return true;
      }
      after |= member.token().equals(token);
    }
    return false;
  }
}
