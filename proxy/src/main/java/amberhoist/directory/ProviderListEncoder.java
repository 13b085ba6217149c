package amberhoist.directory;

import amberhoist.clock.Clock;
import amberhoist.decide.Balancer.Server;
import amberhoist.decide.Balancer.ServerState;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;

/**
 * Encodes the providers of a registry for another process of this machine: in the directory's form, but with start
 * times of the monotonic clock, which a step of the wall clock does not change.
 */
public final class ProviderListEncoder {
  private static final JsonFactory JSON_FACTORY = new JsonFactory();

  private ProviderListEncoder() {}

  /** Encodes a snapshot of the listed providers whose address is known, with version 0. */
  public static byte[] encode(ProviderRegistry registry, Clock clock) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON_FACTORY.createGenerator(bytes)) {
      json.writeStartObject();
      json.writeNumberField("index", 0);
      json.writeBooleanField("snapshot", true);
      json.writeArrayFieldStart("endpoints");
      for (Server server : registry.listedProviders()) {
        InetSocketAddress address = registry.addressOf(server.name());
        if (address != null) {
          writeEntry(json, server, address, clock);
        }
      }
      json.writeEndArray();
      json.writeEndObject();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a list that another process has encoded.
   *
   * @throws IOException if it is malformed
   */
  public static DirectoryUpdate decode(byte[] list, Clock clock) throws IOException {
    return DirectoryUpdate.parse(list, clock::fromMonotonicMillis);
  }

  private static void writeEntry(JsonGenerator json, Server server, InetSocketAddress address, Clock clock)
      throws IOException {
    json.writeStartObject();
    json.writeStringField("name", server.name());
    json.writeStringField("address", address.getAddress().getHostAddress() + ':' + address.getPort());
    json.writeStringField("zone", server.zone());
    json.writeStringField("type", server.machineType());
    json.writeNumberField("group", server.cell());
    json.writeStringField("status", server.state() == ServerState.READY ? "active" : "leaving");
    json.writeNumberField("weight", server.relativeCapacity());
    json.writeNumberField("since_ms", clock.toMonotonicMillis(server.startedAt()));
    json.writeEndObject();
  }
}
