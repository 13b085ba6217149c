package amberhoist.mgmt;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * The figures that operators fetch, by their names for things.
 *
 * @param served connections brought up, by class
 * @param refused rejections, by class
 * @param failed failures, by class
 * @param attempts attempts whose line was written whole
 * @param inFlight connections taken and not ended
 * @param known providers in the list
 * @param excluded providers in the list that get nothing now, by hand or by the module's choice
 */
public record Figures(Map<String, Long> served, Map<String, Long> refused, Map<String, Long> failed, long attempts,
    long inFlight, long known, long excluded) {
  private static final JsonFactory JSON = new JsonFactory();

  /** As JSON, on one line. */
  public String json() {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      write(out, "served", served);
      write(out, "refused", refused);
      write(out, "failed", failed);
      out.writeNumberField("attempts", attempts);
      out.writeNumberField("in_flight", inFlight);
      out.writeNumberField("viewer_hosts_known", known);
      out.writeNumberField("viewer_hosts_excluded", excluded);
      out.writeEndObject();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
    return text.toString();
  }

  private static void write(JsonGenerator out, String name, Map<String, Long> counts) throws IOException {
    out.writeObjectFieldStart(name);
    for (Map.Entry<String, Long> count : counts.entrySet()) {
      out.writeNumberField(count.getKey(), count.getValue());
    }
    out.writeEndObject();
  }
}
