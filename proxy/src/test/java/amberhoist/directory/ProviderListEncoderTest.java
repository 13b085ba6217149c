package amberhoist.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.clock.Clock;
import amberhoist.decide.Balancer.Server;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A list that is handed to another process must be read there as it stands here. */
class ProviderListEncoderTest {
  private static final long TOLERANCE_MICROS = 1_000_000; // the test may be held up between two readings

  @Test
  void aListIsReadAsItWasEncoded() throws Exception {
    Clock clock = new Clock();
    String text = "{\"index\":7,\"snapshot\":true,\"endpoints\":["
        + "{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z \\\"1\\\"\",\"type\":\"m\",\"group\":3,"
        + "\"status\":\"leaving\",\"weight\":0.5,\"since_ms\":0},"
        + "{\"name\":\"b\",\"address\":\"127.0.0.2:65535\",\"zone\":\"\",\"type\":null,\"group\":0,"
        + "\"status\":\"active\",\"weight\":1,\"since_ms\":" + (System.currentTimeMillis() - 2000) + "},"
        + "{\"name\":\"gone\",\"status\":\"left\"}]}";
    ProviderRegistry registry = new ProviderRegistry();
    registry.update(DirectoryUpdate.parse(text.getBytes(StandardCharsets.UTF_8), clock));
    byte[] encoded = ProviderListEncoder.encode(registry, clock);
    DirectoryUpdate read = ProviderListEncoder.decode(encoded, clock);
    assertTrue(read.snapshot());
    long startMillis = new ObjectMapper().readTree(encoded).at("/endpoints/1/since_ms").longValue();
    assertEquals(clock.monotonic() / 1000.0 - 2000, startMillis, TOLERANCE_MICROS / 1000.0,
        "no step of the wall clock counts");
    assertEquals(registry.listedProviders().size(), read.providers().size());
    for (int i = 0; i < 2; i++) {
      Server expected = registry.listedProviders().get(i);
      Server server = read.providers().get(i);
      assertEquals(registry.addressOf(expected.name()), read.addresses().get(server.name()));
      assertEquals(expected.startedAt(), server.startedAt(), TOLERANCE_MICROS);
      assertEquals(expected, new Server(server.name(), server.zone(), server.machineType(), server.cell(),
          server.state(), server.relativeCapacity(), expected.startedAt()));
    }
  }
}
