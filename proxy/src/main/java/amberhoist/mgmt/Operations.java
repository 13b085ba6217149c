package amberhoist.mgmt;

import java.util.concurrent.CompletionStage;

/** What the door can ask for and command. Each may be called from any thread and returns at once. */
public interface Operations {
  /** How a command went. */
  enum Verdict {
    /** It holds from now on. */
    DONE,
    /** Nobody has this id. */
    UNKNOWN,
    /** It could not be kept for a process that takes over, so it does not hold. */
    NOT_KEPT
  }

  /** Why this process is not ready to serve; empty when it is. */
  CompletionStage<String> unready();

  /** The figures as they are now. */
  CompletionStage<Figures> figures();

  /** Takes a provider out until it is called back. */
  CompletionStage<Verdict> suspend(String provider);

  /** Calls a provider back. */
  CompletionStage<Verdict> resume(String provider);
}
