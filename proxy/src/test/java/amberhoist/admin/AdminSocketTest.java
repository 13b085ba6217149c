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

/** The timeout of the admin socket applies to slow clients, not to responses that take long to produce. */
class AdminSocketTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** Produces its response only after the timeout, as a process does that has just started. */
  private static final class SlowSource implements AdminSocket.Source {
    @Override
    public Status status() {
      throw new IllegalStateException("not requested in this test");
    }

    @Override
    public Map<Span, ? extends AbstractHistogram> latencies() {
      throw new IllegalStateException("not requested in this test");
    }

    @Override
    public String config() {
      try {
        new CountDownLatch(1).await(TIMEOUT.toMillis() * 3 / 2, TimeUnit.MILLISECONDS);
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
      return "the configuration";
    }
  }

  @Test
  void returnsAResponseProducedAfterTheTimeout() throws Exception {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (AdminSocket admin = new AdminSocket(address, TIMEOUT, new SlowSource(),
        new EventLog("n0", LogSettings.DEFAULT))) {
      admin.start();
      assertEquals("the configuration", AdminClient.get(admin.address(), "/config"));
      assertThrows(IOException.class, () -> AdminClient.get(admin.address(), "/nothing"), "a 404 is an error");
    }
  }
}
