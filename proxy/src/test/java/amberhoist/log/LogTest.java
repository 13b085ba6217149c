package amberhoist.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.log.LogSettings.Format;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

/** Rate limits, escaping, the bounded output and the JSON format of the log. */
class LogTest {
  private static final long SECOND_NANOS = 1_000_000_000;

  private long nowNanos;

  /** Returns the lines that the action writes to standard error. */
  private static List<String> captureLines(Runnable action) {
    PrintStream before = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      action.run();
    } finally {
      System.setErr(before);
    }
    return bytes.toString(StandardCharsets.UTF_8).lines().toList();
  }

  private EventLog log(int rate, int burst) {
    return new EventLog("n0", new LogSettings(Format.TEXT, org.slf4j.event.Level.INFO, rate, burst, 1 << 16),
        () -> nowNanos);
  }

  @Test
  void limitsTheRateOfAnEventAndCountsSuppressedLines() {
    EventLog log = log(5, 20);
    int lineCount = 100_000; // ten seconds of 10,000 a second
    List<String> lines = captureLines(() -> {
      for (int i = 0; i < lineCount; i++) {
        nowNanos += SECOND_NANOS / 10_000;
        log.log(Event.CLIENT_MALFORMED, "no OPEN", "peer", "/127.0.0.1:" + i);
      }
    });
    assertTrue(lines.size() >= 50 && lines.size() <= 20 + 5 * 10, lines.size() + " lines");
    assertEquals(lineCount - lines.size(), log.suppressedLines(), "every line is written or counted");
    assertTrue(lines.get(30).contains("suppressed="), lines.get(30));
    List<String> summary = captureLines(log::logSuppressed);
    assertEquals(1, summary.size());
    assertTrue(summary.get(0).contains("event=log.suppressed") && summary.get(0).contains("of=client.malformed"));
    assertEquals(List.of(), captureLines(log::logSuppressed), "logged once");
  }

  @Test
  void limitsEachEventSeparately() {
    EventLog log = log(1, 1);
    List<String> lines = captureLines(() -> {
      for (int i = 0; i < 100; i++) {
        log.log(Event.CLIENT_MALFORMED, "no OPEN");
      }
      log.log(Event.PROVIDER_SILENT, "silent");
      for (int i = 0; i < 3; i++) {
        log.log(Event.CONFIG_REFUSED, "not rate-limited: caused by an operator");
      }
    });
    assertEquals(5, lines.size());
  }

  @Test
  void escapesAndTruncatesTextFromClients() {
    List<String> lines = captureLines(() -> log(5, 5).log(Event.CLIENT_MALFORMED, "x\r\nERROR forged\u001b[31m",
        "peer", "y".repeat(1_000_000)));
    assertEquals(1, lines.size());
    assertTrue(lines.get(0).length() < 5000);
    assertTrue(lines.get(0).indexOf('\u001b') < 0);
  }

  @Test
  void blockedOutputDropsWritesAndReportsThemLater() throws Exception {
    Semaphore writePermits = new Semaphore(0);
    BlockingQueue<String> written = new LinkedBlockingQueue<>();
    BlockingQueue<Long> reportedDrops = new LinkedBlockingQueue<>();
    OutputStream pipe = new OutputStream() {
      @Override
      public void write(int b) {
        throw new UnsupportedOperationException();
      }

      @Override
      public void write(byte[] bytes) {
        writePermits.acquireUninterruptibly();
        written.add(new String(bytes, StandardCharsets.UTF_8));
      }
    };
    BoundedOutputStream output = new BoundedOutputStream(pipe, 100, reportedDrops::add);
    byte[] line = "123456789\n".getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < 1000; i++) {
      output.write(line, 0, line.length); // must not block
    }
    long dropped = output.droppedWrites();
    assertTrue(dropped >= 1000 - 11 && dropped <= 1000 - 10, dropped + " dropped"); // one may be in write()
    writePermits.release(1000);
    long reported = 0;
    while (reported < dropped) {
      Long count = reportedDrops.poll(10, TimeUnit.SECONDS);
      assertTrue(count != null, "only " + reported + " of " + dropped + " drops were reported");
      reported += count;
    }
    assertEquals(dropped, reported);
    for (long i = 0; i < 1000 - dropped; i++) {
      assertEquals("123456789\n", written.poll(10, TimeUnit.SECONDS), "accepted lines are written whole");
    }
  }

  @Test
  void jsonLinesContainEachFieldByItsName() throws Exception {
    LoggerContext context = new LoggerContext();
    LoggingEvent event = new LoggingEvent("", context.getLogger("amberhoist.call"), Level.INFO,
        "a \"call\" ended\n", new IllegalStateException("x"), new Object[0]);
    event.setKeyValuePairs(List.of(new KeyValuePair("event", "call.ended"), new KeyValuePair("invocation", 7L)));
    String line = JsonLines.toJsonLine(event);
    assertEquals(1, line.lines().count());
    JsonNode read = new ObjectMapper().readTree(line);
    assertEquals("call.ended", read.path("event").asText());
    assertTrue(read.path("invocation").isNumber());
    assertEquals("a \"call\" ended\n", read.path("message").asText());
    assertEquals("amberhoist.call", read.path("logger").asText());
    assertTrue(read.path("time").asText().endsWith("Z") && read.path("stack").size() > 0);
  }
}
