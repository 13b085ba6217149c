package amberhoist.group;

import io.microraft.RaftEndpoint;

/** A member of the group, by the name that the operator's file gives it. */
public record Member(String name) implements RaftEndpoint {
  /** Refuses a member without a name. */
  public Member {
    if (name == null || name.isBlank()) {
      throw new IllegalArgumentException("a member needs a name");
    }
  }

  @Override
  public Object getId() {
    return name;
  }
}
