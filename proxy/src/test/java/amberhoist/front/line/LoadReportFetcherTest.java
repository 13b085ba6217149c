package amberhoist.front.line;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Parsing of the answer to STATS. */
class LoadReportFetcherTest {
  @Test
  void findsTheUtilizationByNameAtAnyPosition() {
    assertEquals(1.25, LoadReportFetcher.parseUtilization("PONG load_share=1,concurrent=12.5,x0=1.25"));
    assertEquals(0, LoadReportFetcher.parseUtilization("PONG x0=0,load_share=0"));
  }

  @Test
  void returnsNanForInvalidReports() {
    for (String answer : List.of("", "PONG", "PONG ", "ERR", "NO", "ERR x0=0.5", "PONG x0=", "PONG x0=hot",
        "PONG x0=-1", "PONG x0=NaN", "PONG x0=1e999", "PONG x01=2", "PONG load_share=0.5")) {
      assertTrue(Double.isNaN(LoadReportFetcher.parseUtilization(answer)), answer);
    }
    assertTrue(Double.isNaN(LoadReportFetcher.parseUtilization(null)), "line without CRLF");
  }
}
