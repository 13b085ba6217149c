package amberhoist.mgmt;

import java.util.concurrent.CompletionStage;

/** The operations of the management API. All of them are asynchronous and may be called from any thread. */
public interface ManagementOperations {
  /** The result of suspending or resuming a provider. */
  enum ChangeResult {
    /** The change has taken effect. */
    DONE,
    /** No provider has this id. */
    UNKNOWN_PROVIDER,
    /** The change could not be stored for a process that takes over later, so it was not applied. */
    NOT_STORED
  }

  /** The reason why this process is not ready to serve; an empty string if it is ready. */
  CompletionStage<String> notReadyReason();

  /** The current metrics. */
  CompletionStage<ManagementMetrics> metrics();

  /** Suspends a provider: it gets no new requests until it is resumed. */
  CompletionStage<ChangeResult> suspend(String provider);

  /** Resumes a suspended provider. */
  CompletionStage<ChangeResult> resume(String provider);
}
