package amberhoist.mgmt;

import amberhoist.mgmt.ManagementOperations.ChangeResult;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Maps requests to operations and their results to responses. */
public final class Routes {
  private final ManagementOperations operations;

  /** Creates routes to these operations. */
  public Routes(ManagementOperations operations) {
    this.operations = operations;
  }

  /** Handles a request; the stage completes with its response, or exceptionally if the operation failed. */
  public CompletionStage<ManagementResponse> handle(ManagementRequest request) {
    List<String> path = request.path();
    if (path.equals(List.of("v1", "readyz"))) {
      return requireMethod(request, "GET", () -> operations.notReadyReason().thenApply(reason -> reason.isEmpty()
          ? ManagementResponse.ok("{\"ready\":true}") : ManagementResponse.error(503, "Service Unavailable", reason)));
    }
    if (path.equals(List.of("v1", "metrics"))) {
      return requireMethod(request, "GET",
          () -> operations.metrics().thenApply(metrics -> ManagementResponse.ok(metrics.toJson())));
    }
    if (path.size() == 4 && path.subList(0, 2).equals(List.of("v1", "viewer-hosts"))) {
      if (path.get(3).equals("suspend")) {
        return requireMethod(request, "PUT", () -> operations.suspend(path.get(2)).thenApply(Routes::toResponse));
      }
      if (path.get(3).equals("resume")) {
        return requireMethod(request, "PUT", () -> operations.resume(path.get(2)).thenApply(Routes::toResponse));
      }
    }
    return CompletableFuture.completedFuture(ManagementResponse.error(404, "Not Found", "no such path"));
  }

  private interface Handler {
    CompletionStage<ManagementResponse> handle();
  }

  private static CompletionStage<ManagementResponse> requireMethod(ManagementRequest request, String method,
      Handler handler) {
    return request.method().equals(method) ? handler.handle()
        : CompletableFuture.completedFuture(ManagementResponse.methodNotAllowed(method));
  }

  private static ManagementResponse toResponse(ChangeResult result) {
    return switch (result) {
      case DONE -> ManagementResponse.ok("{\"done\":true}");
      case UNKNOWN_PROVIDER -> ManagementResponse.error(404, "Not Found", "unknown viewer host");
      case NOT_STORED -> ManagementResponse.error(503, "Service Unavailable",
          "not done: the change cannot be stored in $TMPDIR");
    };
  }
}
