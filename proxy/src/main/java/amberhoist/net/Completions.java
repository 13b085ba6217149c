package amberhoist.net;

import amberhoist.core.SlotTable;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/** Creates completion handlers that look their connection up by id: completions after its close change nothing. */
final class Completions {
  /** Handles a completed operation on the event loop's thread. */
  interface Completion<V> {
    void complete(Connection connection, V result);
  }

  private final EventLoop loop;
  private final SlotTable<Connection> connections;

  Completions(EventLoop loop, SlotTable<Connection> connections) {
    this.loop = loop;
    this.connections = connections;
  }

  /** A handler that passes results to the first listener, and to the second one connections whose operation failed. */
  <V> CompletionHandler<V, Long> handler(Completion<V> onCompleted, Consumer<Connection> onFailed) {
    return new CompletionHandler<>() {
      @Override
      public void completed(V result, Long id) {
        ifPresent(id, connection -> onCompleted.complete(connection, result));
      }

      @Override
      public void failed(Throwable fault, Long id) {
        ifPresent(id, connection -> {
          connection.fault = fault;
          onFailed.accept(connection);
        });
      }
    };
  }

  private void ifPresent(long id, Consumer<Connection> action) {
    loop.run(() -> {
      Connection connection = connections.get(id);
      if (connection != null) {
        action.accept(connection);
      }
    });
  }
}
