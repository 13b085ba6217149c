package amberhoist.lab.scale;

import amberhoist.lab.emulator.RandomSource;
import amberhoist.lab.emulator.VirtualTime;
import amberhoist.rollout.PolicyVersions.PolicyChange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;

/** Simulates operators: requests changes one after the other, and retries each until its result is known. */
final class OperatorSimulator {
  private static final long RETRY_DELAY_MICROS = 300_000;
  private static final long ATTEMPT_TIMEOUT_MICROS = 5_000_000;
  private static final double REPLACEMENT_FRACTION = 0.05; // changes that replace most of the document

  private final VirtualTime time;
  private final RandomSource random;
  private final List<ControllerMachine> controllers;
  private final ScaleChecker checker;
  private final List<ControlPlaneProxy> proxies;
  private final int documentBytes;
  private final Runnable onChangeSent; // runs when a change is sent
  private final ArrayDeque<Long> queuedAt = new ArrayDeque<>(); // request times of queued changes
  private boolean changeInProgress;
  private int startedCount;
  private int acceptedCount;

  OperatorSimulator(VirtualTime time, RandomSource random, List<ControllerMachine> controllers, ScaleChecker checker,
      List<ControlPlaneProxy> proxies, int documentBytes, Runnable onChangeSent) {
    this.time = time;
    this.random = random;
    this.controllers = controllers;
    this.checker = checker;
    this.proxies = proxies;
    this.documentBytes = documentBytes;
    this.onChangeSent = onChangeSent;
  }

  /** Requests one more change now; it is sent once all earlier ones have ended. */
  void requestChange() {
    queuedAt.add(time.now());
    startNext();
  }

  private void startNext() {
    if (changeInProgress || queuedAt.isEmpty()) {
      return;
    }
    changeInProgress = true;
    sendChange(queuedAt.poll(), "change-" + startedCount++, newDocument());
  }

  /** Returns a document that differs from the previous one in one line, or in most of them. */
  private byte[] newDocument() {
    StringBuilder text = new StringBuilder(documentBytes);
    boolean replacesMost = random.nextBoolean(REPLACEMENT_FRACTION);
    text.append("change = ").append(startedCount).append('\n');
    for (int line = 0; text.length() < documentBytes; line++) {
      long value = replacesMost ? random.nextLong() : line * 0x9E3779B97F4A7C15L;
      text.append("route-").append(line).append(" = \"").append(Long.toHexString(value)).append("\"\n");
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Sends a change based on the latest version to the leader, and retries until it is accepted. */
  private void sendChange(long requestedAt, String id, byte[] document) {
    boolean[] attemptEnded = new boolean[1];
    Runnable retry = () -> {
      if (!attemptEnded[0]) {
        attemptEnded[0] = true;
        time.runAfter(RETRY_DELAY_MICROS, () -> sendChange(requestedAt, id, document));
      }
    };
    ControllerMachine leader = controllers.stream().filter(ControllerMachine::isLeader).findFirst().orElse(null);
    if (leader == null || leader.member().rollout().isPending()) {
      retry.run();
      return;
    }
    long base = leader.member().rollout().latestVersion();
    // The id contains the base: a change that lost against another is requested again on the newer version.
    PolicyChange change = new PolicyChange(id + "@" + base, base, new String(document, StandardCharsets.UTF_8));
    checker.onRequested(change.id(), requestedAt);
    onChangeSent.run();
    leader.execute(() -> leader.member().propose(change).whenComplete((answer, fault) -> {
      if (fault != null || attemptEnded[0]) {
        retry.run();
        return;
      }
      attemptEnded[0] = true;
      if (answer.getResult().isAccepted()) {
        acceptedCount++;
        long version = answer.getResult().version();
        time.runAt(requestedAt + ScaleChecker.maxActivationMicros(), () -> checker.countLateProxies(version, proxies));
        changeInProgress = false;
        startNext();
      } else {
        time.runAfter(RETRY_DELAY_MICROS, () -> sendChange(requestedAt, id, document));
      }
    }));
    time.runAfter(ATTEMPT_TIMEOUT_MICROS, retry);
  }

  /** Number of changes requested. */
  int requestedCount() {
    return startedCount + queuedAt.size();
  }

  /** Number of changes that became a version; some of them may have been withdrawn later. */
  int acceptedCount() {
    return acceptedCount;
  }
}
