package amberhoist.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import amberhoist.log.EventLog;
import amberhoist.log.LogSettings;
import amberhoist.metrics.Latencies.Span;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.AbstractHistogram;
import org.junit.jupiter.api.Test;

/** Who is cut off at the admin socket: whoever dawdles, not whoever asks what takes long to answer. */
class AdminSocketTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** Answers only well after the timeout, as a process does that has just started. */
  private static final class Slow implements AdminSocket.Source {
    @Override
    public Status status() {
      throw new IllegalStateException("not asked here");
    }

    @Override
    public Map<Span, ? extends AbstractHistogram> latencies() {
      throw new IllegalStateException("not asked here");
    }

    @Override
    public String config() {
      try {
        new CountDownLatch(1).await(TIMEOUT.toMillis() * 3 / 2, TimeUnit.MILLISECONDS);
      } catch (InterruptedException ended) {
        throw new IllegalStateException(ended);
      }
      return "all of it";
    }
  }

  @Test
  void anAnswerThatTakesLongIsNoDawdling() throws Exception {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (AdminSocket admin = new AdminSocket(any, TIMEOUT, new Slow(), new EventLog("n0", LogSettings.DEFAULT))) {
      assertEquals("all of it", AdminClient.get(admin.address(), "/config"));
      assertThrows(IOException.class, () -> AdminClient.get(admin.address(), "/nothing"), "a 404 is told as such");
    }
  }
}
