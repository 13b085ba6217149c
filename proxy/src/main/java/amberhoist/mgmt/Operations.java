package amberhoist.mgmt;

import java.util.concurrent.CompletionStage;

/** What the door can ask for and command. Each may be called from any thread and returns at once. */
public interface Operations {
  /** Why this process is not ready to serve; empty when it is. */
  CompletionStage<String> unready();

  /** The figures as they are now. */
  CompletionStage<Figures> figures();
}
