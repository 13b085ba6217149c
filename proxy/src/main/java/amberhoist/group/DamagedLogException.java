package amberhoist.group;

import java.io.IOException;

/** A log that cannot be trusted: a member must not vote by it. */
public final class DamagedLogException extends IOException {
  private static final long serialVersionUID = 1;

  /** Damage at this place, counted in bytes from the beginning. */
  public DamagedLogException(int at, String what) {
    super("the log is damaged at byte " + at + ": " + what
        + "; remove the file and add this member anew, it must not vote by what is left");
  }
}
