package amberhoist.mgmt;

import amberhoist.mgmt.Operations.Verdict;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Which call asks for what, and how the outcome is said. */
public final class Routes {
  private final Operations operations;

  /** Routes to these operations. */
  public Routes(Operations operations) {
    this.operations = operations;
  }

  /** The answer to a call, once there is one. */
  public CompletionStage<Answer> answer(Call call) {
    List<String> path = call.path();
    if (path.equals(List.of("v1", "readyz"))) {
      return allowed(call, "GET", () -> operations.unready().thenApply(why -> why.isEmpty()
          ? Answer.yes("{\"ready\":true}") : Answer.no(503, "Service Unavailable", why)));
    }
    if (path.equals(List.of("v1", "metrics"))) {
      return allowed(call, "GET", () -> operations.figures().thenApply(figures -> Answer.yes(figures.json())));
    }
    if (path.size() == 4 && path.subList(0, 2).equals(List.of("v1", "viewer-hosts"))) {
      if (path.get(3).equals("suspend")) {
        return allowed(call, "PUT", () -> operations.suspend(path.get(2)).thenApply(Routes::said));
      }
      if (path.get(3).equals("resume")) {
        return allowed(call, "PUT", () -> operations.resume(path.get(2)).thenApply(Routes::said));
      }
    }
    return CompletableFuture.completedFuture(Answer.no(404, "Not Found", "no such path"));
  }

  private interface Asking {
    CompletionStage<Answer> ask();
  }

  private static CompletionStage<Answer> allowed(Call call, String method, Asking asking) {
    return call.method().equals(method) ? asking.ask()
        : CompletableFuture.completedFuture(Answer.notAllowed(method));
  }

  private static Answer said(Verdict verdict) {
    return switch (verdict) {
      case DONE -> Answer.yes("{\"done\":true}");
      case UNKNOWN -> Answer.no(404, "Not Found", "no viewer host has this id");
      case NOT_KEPT -> Answer.no(503, "Service Unavailable", "it cannot be kept in $TMPDIR, so it was not done");
    };
  }
}
