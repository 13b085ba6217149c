package amberhoist.cli;

/** A subcommand provided by another module; found through {@link java.util.ServiceLoader}. */
public interface Extension {
  /** The command: an object annotated as a picocli command. */
  Object command();
}
