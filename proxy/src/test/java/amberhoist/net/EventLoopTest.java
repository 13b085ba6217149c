package amberhoist.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The order of events and timers in the event loop. */
@Timeout(30)
class EventLoopTest {
  /** After a stall of the process, events that arrived meanwhile must run before the expired timers. */
  @Test
  void runsEventsBeforeExpiredTimersAfterAStall() throws Exception {
    List<String> order = Collections.synchronizedList(new ArrayList<>());
    EventLoop loop = new EventLoop(fault -> order.add(fault.toString()), late -> { });
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    CountDownLatch fired = new CountDownLatch(2);
    loop.post(() -> {
      for (int i = 0; i < 2; i++) {
        loop.timerWheel().arm(loop.now() + EventLoop.TICK_MICROS, at -> {
          order.add("timer");
          fired.countDown();
        });
      }
      blocked.countDown();
      await(resume);
    });
    blocked.await();
    for (long end = loop.now() + 100_000; loop.now() < end;) {
      Thread.onSpinWait(); // until the timers and the tick that fires them are overdue
    }
    loop.post(() -> order.add("event"));
    resume.countDown();
    fired.await();
    assertEquals(List.of("event", "timer", "timer"), order);
    loop.close();
  }

  /** Timers must fire even if every tick is late. */
  @Test
  void firesTimersAlthoughEveryTickIsLate() throws Exception {
    EventLoop loop = new EventLoop(fault -> { }, late -> { });
    CountDownLatch fired = new CountDownLatch(1);
    keepBusy(loop, fired);
    keepBusy(loop, fired); // one is queued whenever the other runs
    loop.post(() -> loop.timerWheel().arm(loop.now() + EventLoop.TICK_MICROS, at -> fired.countDown()));
    fired.await();
    loop.close();
  }

  /** Keeps the loop busy with tasks of 30 ms, longer than the threshold of a stall, until the latch is at zero. */
  private static void keepBusy(EventLoop loop, CountDownLatch until) {
    loop.post(() -> {
      for (long end = loop.now() + 30_000; loop.now() < end;) {
        Thread.onSpinWait();
      }
      if (until.getCount() > 0) {
        keepBusy(loop, until);
      }
    });
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
