package amberhoist.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.AppenderBase;
import ch.qos.logback.core.spi.ContextAwareBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Instant;
import org.slf4j.event.KeyValuePair;

/**
 * Configures Logback to write each event to standard error as one line with a flat JSON object. Only the JSON format
 * loads Logback, which takes some megabytes more than the text format's backend (see docs/design/logging.md).
 */
public final class JsonLines extends ContextAwareBase implements Configurator {
  private static final JsonFactory JSON = new JsonFactory();

  private static final class StandardErrorAppender extends AppenderBase<ILoggingEvent> {
    @Override
    protected void append(ILoggingEvent event) {
      System.err.print(toJsonLine(event));
    }
  }

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    StandardErrorAppender appender = new StandardErrorAppender();
    appender.setContext(context);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.TRACE); // EventLog filters by level
    root.addAppender(appender);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  static String toJsonLine(ILoggingEvent event) {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      out.writeStringField("time", Instant.ofEpochMilli(event.getTimeStamp()).toString());
      out.writeStringField("level", event.getLevel().toString());
      out.writeStringField("logger", event.getLoggerName());
      if (event.getKeyValuePairs() != null) {
        for (KeyValuePair pair : event.getKeyValuePairs()) {
          if (pair.value instanceof Number number) {
            out.writeNumberField(pair.key, number.longValue());
          } else {
            out.writeStringField(pair.key, String.valueOf(pair.value));
          }
        }
      }
      out.writeStringField("message", event.getFormattedMessage());
      if (event.getThrowableProxy() != null) {
        writeThrowable(out, event.getThrowableProxy());
      }
      out.writeEndObject();
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible); // a StringWriter does not throw
    }
    return text + "\n";
  }

  private static void writeThrowable(JsonGenerator out, IThrowableProxy fault) throws IOException {
    out.writeStringField("fault", fault.getClassName());
    out.writeArrayFieldStart("stack");
    for (var frame : fault.getStackTraceElementProxyArray()) {
      out.writeString(frame.getSTEAsString());
    }
    out.writeEndArray();
  }
}
