package amberhoist.front.line;

/** Thrown for a line that violates the platform's protocol. */
public final class MalformedLine extends Exception {
  private static final long serialVersionUID = 1;

  MalformedLine(String message) {
    super(message, null, false, false);
  }
}
