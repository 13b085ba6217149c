package amberhoist.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class LoopTest {
  /** Failure met by reading: after the process stood still, timers went ahead of all that had come meanwhile. */
  @Test
  void afterAStallWhatHasComeGoesAheadOfTheTimersOnce() throws Exception {
    List<String> order = Collections.synchronizedList(new ArrayList<>());
    EventLoop loop = new EventLoop(fault -> order.add(fault.toString()), late -> { });
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    CountDownLatch fired = new CountDownLatch(2);
    loop.post(() -> {
      for (int i = 0; i < 2; i++) {
        loop.timerWheel().arm(loop.now() + EventLoop.TICK_MICROS, at -> {
          order.add("timer");
          fired.countDown();
        });
      }
      held.countDown();
      await(go);
    });
    held.await();
    for (long end = loop.now() + 100_000; loop.now() < end;) {
      Thread.onSpinWait(); // the timers are long due, and so is the tick that would fire them
    }
    loop.post(() -> order.add("event"));
    go.countDown();
    fired.await();
    assertEquals(List.of("event", "timer", "timer"), order);
    loop.close();
  }

  /** Timers must not wait for a process that is late at each tick. */
  @Test
  void timersFireAlthoughEachTickComesLate() throws Exception {
    EventLoop loop = new EventLoop(fault -> { }, late -> { });
    CountDownLatch fired = new CountDownLatch(1);
    busy(loop, fired);
    busy(loop, fired); // one waits whenever one runs
    loop.post(() -> loop.timerWheel().arm(loop.now() + EventLoop.TICK_MICROS, at -> fired.countDown()));
    fired.await();
    loop.close();
  }

  /** Keeps the loop busy, in tasks longer than what counts as a stall, until this has happened. */
  private static void busy(EventLoop loop, CountDownLatch until) {
    loop.post(() -> {
      for (long end = loop.now() + 30_000; loop.now() < end;) {
        Thread.onSpinWait();
      }
      if (until.getCount() > 0) {
        busy(loop, until);
      }
    });
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
