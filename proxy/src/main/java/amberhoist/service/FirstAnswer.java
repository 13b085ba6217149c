package amberhoist.service;

import amberhoist.config.PlatformConfig;
import amberhoist.log.Event;
import amberhoist.log.EventLog;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The wait for the directory's first answer at the start. Where lists are pushed, all changes count as known to a new
 * process from its first moment, and the list of its configuration may be out of date: clients are accepted only after
 * the answer. Where the directory is asked, the list of the configuration counts until it has answered, so that there
 * is nothing to wait for.
 */
final class FirstAnswer {
  /** The maximum wait: a call may take 3 s, and a new process must be ready after 6 s, also without a directory. */
  private static final long MAX_WAIT_MILLIS = 4_500;

  private final CompletableFuture<Void> answered = new CompletableFuture<>();

  /** The directory has answered; only the first call matters. */
  void onAnswered() {
    answered.complete(null);
  }

  /** Whether the directory has answered. */
  boolean isGiven() {
    return answered.isDone();
  }

  /** Waits, if lists are pushed, until the directory has answered or the maximum wait is over. */
  void await(PlatformConfig platform, EventLog log) throws InterruptedException {
    if (platform.pushedDrainLimitMicros() == 0) {
      return;
    }
    try {
      answered.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException late) {
      log.log(Event.DIRECTORY_LATE, "the directory has not answered, serving by the list of the configuration",
          "waited_ms", MAX_WAIT_MILLIS);
    } catch (ExecutionException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}
