package amberhoist.front.line;

/** Thrown for a line that violates the platform's protocol. */
public final class MalformedLineException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedLineException(String message) {
    super(message, null, false, false);
  }
}
