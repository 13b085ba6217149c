package amberhoist.lab.scale;

import amberhoist.lab.emulator.Chance;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.rollout.Sequence.Change;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;

/** Orders changes one after the other, and asks on until it knows what became of each. */
final class Operators {
  private static final long AGAIN = 300_000; // micros: asks again after this without an answer
  private static final long GIVE_UP = 5_000_000;
  private static final double WHOLE_PART = 0.05; // of the changes replace most of the document
  private static final int LINE = 64;

  private final VirtualTime time;
  private final Chance chance;
  private final List<ControllerMachine> controllers;
  private final ScaleChecker checker;
  private final List<HollowProxy> proxies;
  private final int documentBytes;
  private final Runnable begins; // is told of each change that an operator sends
  private final ArrayDeque<Long> ordered = new ArrayDeque<>(); // times of the orders that wait their turn
  private boolean busy;
  private int count;
  private int taken;

  Operators(VirtualTime time, Chance chance, List<ControllerMachine> controllers, ScaleChecker checker,
      List<HollowProxy> proxies, int documentBytes, Runnable begins) {
    this.time = time;
    this.chance = chance;
    this.controllers = controllers;
    this.checker = checker;
    this.proxies = proxies;
    this.documentBytes = documentBytes;
    this.begins = begins;
  }

  /** Orders one more change now. */
  void order() {
    ordered.add(time.now());
    next();
  }

  private void next() {
    if (busy || ordered.isEmpty()) {
      return;
    }
    busy = true;
    ask(ordered.poll(), "change-" + count++, document());
  }

  /** A document of which a line is new, or most of them. */
  private byte[] document() {
    StringBuilder text = new StringBuilder(documentBytes);
    boolean whole = chance.happens(WHOLE_PART);
    text.append("change = ").append(count).append('\n');
    for (int line = 0; text.length() < documentBytes; line++) {
      long value = whole ? chance.bits() : line * 0x9E3779B97F4A7C15L;
      text.append("route-").append(line).append(" = \"").append(Long.toHexString(value)).append("\"\n");
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Asks whoever leads, from the latest version on, again and again until it is told what came of it. */
  private void ask(long orderedAt, String id, byte[] document) {
    boolean[] ended = new boolean[1];
    Runnable again = () -> {
      if (!ended[0]) {
        ended[0] = true;
        time.after(AGAIN, () -> ask(orderedAt, id, document));
      }
    };
    ControllerMachine leader = controllers.stream().filter(ControllerMachine::leads).findFirst().orElse(null);
    if (leader == null || leader.member().rollout().pending()) {
      again.run();
      return;
    }
    long base = leader.member().rollout().latest();
    // An id for each base: a change that lost against another is ordered anew, from the version after.
    Change change = new Change(id + "@" + base, base, new String(document, StandardCharsets.UTF_8));
    checker.ordered(change.id(), orderedAt);
    begins.run();
    leader.execute(() -> leader.member().change(change).whenComplete((answer, fault) -> {
      if (fault != null || ended[0]) {
        again.run();
        return;
      }
      ended[0] = true;
      if (answer.getResult().taken()) {
        taken++;
        long version = answer.getResult().version();
        time.at(orderedAt + ScaleChecker.inForceWithin(), () -> checker.due(version, proxies));
        busy = false;
        next();
      } else {
        time.after(AGAIN, () -> ask(orderedAt, id, document));
      }
    }));
    time.after(GIVE_UP, again);
  }

  /** Changes ordered. */
  int ordered() {
    return count + ordered.size();
  }

  /** Of them, those that took hold in the sequence; some may have been withdrawn after that. */
  int taken() {
    return taken;
  }
}
