package amberhoist.group;

import java.io.IOException;

/** Thrown for a corrupt log. A member must not vote by it, since it may have lost a vote or an acknowledged entry. */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param offset where the corrupt frame begins, in bytes from the start of the log
   * @param reason what is wrong with it
   */
  public CorruptLogException(int offset, String reason) {
    super("the log is corrupt at byte " + offset + ": " + reason
        + "; remove the file and add this member to the group again, it must not vote by the rest of the log");
  }
}
