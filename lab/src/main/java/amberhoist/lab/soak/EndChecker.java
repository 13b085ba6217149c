package amberhoist.lab.soak;

import amberhoist.lab.soak.ConnectionHistory.SeenEnd;
import amberhoist.lab.soak.ConnectionHistory.Snapshot;
import amberhoist.lab.soak.ConnectionScript.How;
import amberhoist.lab.soak.ConnectionScript.Initiator;
import java.util.ArrayList;
import java.util.List;

/** Checks what the sides of a connection were owed, by the protocol page. Does no I/O and reads no clock. */
final class EndChecker {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long ANSWER_SLACK_MILLIS = 500; // up to then an answer earns nothing, later it is lost

  private EndChecker() {}

  /** The rules that this connection's history breaks, each with what was seen. */
  static List<String> check(Snapshot history) {
    List<String> violations = new ArrayList<>();
    checkAnswer(history, violations);
    if (history.isEstablished()) {
      checkLinesToClient(history, violations);
      checkLinesToProvider(history, violations);
      checkEnd(history, violations);
    }
    return violations.stream().map(violation -> history.id() + ": " + violation + ", " + history.script()).toList();
  }

  private static void checkAnswer(Snapshot history, List<String> violations) {
    if (history.requestedAt() == 0) {
      return;
    }
    if (history.answer() == null) {
      violations.add("a request got no answer, its connection ended by " + history.endSeenByClient());
    } else if (history.answeredAt() - history.requestedAt()
        > (history.deadlineMillis() + ANSWER_SLACK_MILLIS) * NANOS_PER_MILLI) {
      violations.add("a request got its answer after its time");
    }
  }

  private static void checkLinesToClient(Snapshot history, List<String> violations) {
    if (history.script().initiator() == Initiator.CLIENT && history.script().how() != How.FIN
        && history.clientHasEnded()) {
      return; // the client reads no more
    }
    List<String> read = history.readByClient();
    List<String> sent = history.sentByProvider();
    if (history.isMoved()) {
      if (read.indexOf("MOVE") != read.size() - 1) {
        violations.add("MOVE is not the last line");
      }
      read = read.subList(0, read.indexOf("MOVE"));
      sent = sent.stream().filter(line -> !line.equals("BYE")).toList(); // MOVE takes its place
    }
    boolean mayMissTheEnd = history.isMoved()
        && (history.providerEndedAt() == 0 || history.providerEndedAt() > history.clientEndAt());
    checkSame("a line that the provider wrote did not reach the client", sent, read, mayMissTheEnd, violations);
  }

  private static void checkLinesToProvider(Snapshot history, List<String> violations) {
    boolean mayMissTheEnd = !history.clientHasEnded() || history.isMoved() || history.providerEndedAt() != 0
        && history.script().initiator() != Initiator.CLIENT;
    checkSame("a line that the client wrote did not reach the provider", history.sentByClient(),
        history.readByProvider(), mayMissTheEnd, violations);
  }

  private static void checkSame(String rule, List<String> sent, List<String> read, boolean mayMissTheEnd,
      List<String> violations) {
    boolean isPrefix = read.size() <= sent.size() && read.equals(sent.subList(0, read.size()));
    if (!isPrefix || !mayMissTheEnd && read.size() < sent.size()) {
      violations.add(rule + ": " + read.size() + " of " + sent.size() + (isPrefix ? "" : ", not the same ones"));
    }
  }

  private static void checkEnd(Snapshot history, List<String> violations) {
    if (history.endSeenByClient() == SeenEnd.NONE && !history.clientHasEnded()) {
      violations.add("a connection did not end");
    }
    if (history.isMoved()) {
      return;
    }
    if (!history.clientHasEnded() && history.providerEndedAt() == 0) {
      violations.add("a connection was cut off without MOVE, by " + history.endSeenByClient());
    }
    if (history.script().initiator() == Initiator.PROVIDER && history.providerEndedAt() != 0) {
      // a close with unread input is a reset of the system's own
      SeenEnd owed = history.script().how() == How.RESET ? SeenEnd.RESET : SeenEnd.FIN;
      if (history.endSeenByClient() != owed && history.script().how() != How.CLOSE) {
        violations.add("an end by " + history.script().how() + " reached the client as " + history.endSeenByClient());
      }
    }
    if (history.script().initiator() == Initiator.CLIENT && history.script().how() == How.RESET
        && history.clientHasEnded() && history.endSeenByProvider() == SeenEnd.FIN) {
      violations.add("a reset reached the provider as FIN");
    }
  }
}
