package amberhoist.mgmt;

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
    return CompletableFuture.completedFuture(Answer.no(404, "Not Found", "no such path"));
  }

  private interface Asking {
    CompletionStage<Answer> ask();
  }

  private static CompletionStage<Answer> allowed(Call call, String method, Asking asking) {
    return call.method().equals(method) ? asking.ask()
        : CompletableFuture.completedFuture(Answer.notAllowed(method));
  }
}
