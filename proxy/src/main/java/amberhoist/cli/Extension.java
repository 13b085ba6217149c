package amberhoist.cli;

/** A command that another module brings; found by {@link java.util.ServiceLoader}. */
public interface Extension {
  /** An object annotated as a picocli command. */
  Object command();
}
