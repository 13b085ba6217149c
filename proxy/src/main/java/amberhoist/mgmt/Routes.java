package amberhoist.mgmt;

import amberhoist.mgmt.Operations.Verdict;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Maps requests to operations and their results to responses. */
public final class Routes {
  private final Operations operations;

  /** Creates routes to these operations. */
  public Routes(Operations operations) {
    this.operations = operations;
  }

  /** Handles a request; the stage completes with its response, or exceptionally if the operation failed. */
  public CompletionStage<Answer> answer(Call request) {
    List<String> path = request.path();
    if (path.equals(List.of("v1", "readyz"))) {
      return requireMethod(request, "GET", () -> operations.unready().thenApply(reason -> reason.isEmpty()
          ? Answer.yes("{\"ready\":true}") : Answer.no(503, "Service Unavailable", reason)));
    }
    if (path.equals(List.of("v1", "metrics"))) {
      return requireMethod(request, "GET",
          () -> operations.figures().thenApply(metrics -> Answer.yes(metrics.json())));
    }
    if (path.size() == 4 && path.subList(0, 2).equals(List.of("v1", "viewer-hosts"))) {
      if (path.get(3).equals("suspend")) {
        return requireMethod(request, "PUT", () -> operations.suspend(path.get(2)).thenApply(Routes::toResponse));
      }
      if (path.get(3).equals("resume")) {
        return requireMethod(request, "PUT", () -> operations.resume(path.get(2)).thenApply(Routes::toResponse));
      }
    }
    return CompletableFuture.completedFuture(Answer.no(404, "Not Found", "no such path"));
  }

  private interface Handler {
    CompletionStage<Answer> handle();
  }

  private static CompletionStage<Answer> requireMethod(Call request, String method,
      Handler handler) {
    return request.method().equals(method) ? handler.handle()
        : CompletableFuture.completedFuture(Answer.notAllowed(method));
  }

  private static Answer toResponse(Verdict result) {
    return switch (result) {
      case DONE -> Answer.yes("{\"done\":true}");
      case UNKNOWN -> Answer.no(404, "Not Found", "unknown viewer host");
      case NOT_KEPT -> Answer.no(503, "Service Unavailable",
          "not done: the change cannot be stored in $TMPDIR");
    };
  }
}
