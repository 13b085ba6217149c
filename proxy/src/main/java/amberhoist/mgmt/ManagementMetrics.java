package amberhoist.mgmt;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * The metrics of the management API. Its JSON calls providers viewer hosts.
 *
 * @param served connections set up, by class
 * @param refused rejected requests, by class
 * @param failed failed requests, by class
 * @param attempts attempts whose line has been written completely
 * @param inFlight invocations that have started and not ended
 * @param knownProviders listed providers
 * @param excludedProviders listed providers that get no new requests: suspended by an operator, or
 *     excluded by the balancer
 */
public record ManagementMetrics(Map<String, Long> served, Map<String, Long> refused, Map<String, Long> failed,
    long attempts, long inFlight, long knownProviders, long excludedProviders) {
  private static final JsonFactory JSON = new JsonFactory();

  /** The metrics as one line of JSON. */
  public String toJson() {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      writeCounts(out, "served", served);
      writeCounts(out, "refused", refused);
      writeCounts(out, "failed", failed);
      out.writeNumberField("attempts", attempts);
      out.writeNumberField("in_flight", inFlight);
      out.writeNumberField("viewer_hosts_known", knownProviders);
      out.writeNumberField("viewer_hosts_excluded", excludedProviders);
      out.writeEndObject();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
    return text.toString();
  }

  private static void writeCounts(JsonGenerator out, String name, Map<String, Long> counts) throws IOException {
    out.writeObjectFieldStart(name);
    for (Map.Entry<String, Long> count : counts.entrySet()) {
      out.writeNumberField(count.getKey(), count.getValue());
    }
    out.writeEndObject();
  }
}
