package amberhoist.group;

import io.microraft.RaftEndpoint;

/** Identifies a member of the group by the name given to it in the operator's configuration file. */
public record MemberId(String name) implements RaftEndpoint {
  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException for a null or blank name
   */
  public MemberId {
    if (name == null || name.isBlank()) {
      throw new IllegalArgumentException("a group member needs a name");
    }
  }

  @Override
  public Object getId() {
    return name;
  }
}
