package amberhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.lab.soak.ConnectionHistory.SeenEnd;
import amberhoist.lab.soak.ConnectionScript.How;
import amberhoist.lab.soak.ConnectionScript.Initiator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each history but the first breaks one rule, which the checker must name. */
class EndCheckerTest {
  private static final long SECOND = 1_000_000_000L;

  private static ConnectionHistory established(Initiator initiator, How how) {
    ConnectionHistory history = new ConnectionHistory("1", new ConnectionScript(1, initiator, how, 1, 0, 0), 2000);
    history.onRequested(SECOND);
    history.onAnswered(2 * SECOND, "UP p0");
    history.onClientSent("line");
    history.onProviderRead("line");
    history.onProviderSent("echo");
    history.onClientRead("echo");
    return history;
  }

  private static void end(ConnectionHistory history, SeenEnd seenByClient, String... lastRead) {
    history.onProviderSent("BYE");
    history.onProviderEnded(3 * SECOND);
    List.of(lastRead).forEach(history::onClientRead);
    history.onEndSeenByClient(4 * SECOND, seenByClient);
  }

  private static void assertBroken(String rule, ConnectionHistory history) {
    List<String> violations = EndChecker.check(history.snapshot());
    assertEquals(1, violations.size(), violations.toString());
    assertTrue(violations.get(0).contains(rule), violations.toString());
  }

  @Test
  void findsNothingWhereAllIsDelivered() {
    ConnectionHistory history = established(Initiator.PROVIDER, How.FIN);
    end(history, SeenEnd.FIN, "BYE");
    assertEquals(List.of(), EndChecker.check(history.snapshot()));
  }

  @Test
  void seesALastLineThatIsDroppedOrChanged() {
    for (String read : new String[] {"BYE BYE", "echo"}) {
      ConnectionHistory changed = established(Initiator.PROVIDER, How.FIN);
      end(changed, SeenEnd.FIN, read);
      assertBroken("a line that the provider wrote did not reach the client: 2 of 2, not", changed);
    }
    ConnectionHistory dropped = established(Initiator.BOTH, How.FIN);
    dropped.onClientEnded();
    end(dropped, SeenEnd.FIN);
    assertBroken("a line that the provider wrote did not reach the client: 1 of 2", dropped);
  }

  @Test
  void seesLinesDroppedBehindAMoveAndLinesAfterIt() {
    ConnectionHistory dropped = established(Initiator.NOBODY, How.FIN);
    dropped.onProviderSent("second echo");
    end(dropped, SeenEnd.FIN, "MOVE");
    assertBroken("did not reach the client: 1 of 2", dropped);
    ConnectionHistory after = established(Initiator.NOBODY, How.FIN);
    end(after, SeenEnd.FIN, "MOVE", "more");
    assertBroken("MOVE is not the last line", after);
  }

  @Test
  void seesAClientLineThatIsDroppedAtTheClientsEnd() {
    ConnectionHistory history = established(Initiator.CLIENT, How.FIN);
    history.onClientSent("last");
    history.onClientEnded();
    end(history, SeenEnd.FIN, "BYE");
    assertBroken("a line that the client wrote did not reach the provider: 1 of 2", history);
  }

  @Test
  void seesAnEndThatIsPassedOnInAnotherWay() {
    ConnectionHistory history = established(Initiator.PROVIDER, How.RESET);
    end(history, SeenEnd.FIN, "BYE");
    assertBroken("an end by RESET reached the client as FIN", history);
  }

  @Test
  void seesARequestWithoutAnAnswerAndALateOne() {
    ConnectionScript script = new ConnectionScript(0, Initiator.CLIENT, How.FIN, 0, 0, 0);
    ConnectionHistory unanswered = new ConnectionHistory("1", script, 2000);
    unanswered.onRequested(SECOND);
    unanswered.onEndSeenByClient(2 * SECOND, SeenEnd.RESET);
    assertBroken("a request got no answer, its connection ended by RESET", unanswered);
    ConnectionHistory late = new ConnectionHistory("2", script, 2000);
    late.onRequested(SECOND);
    late.onAnswered(4 * SECOND, "BUSY 100");
    assertBroken("a request got its answer after its time", late);
  }

  @Test
  void seesAConnectionThatIsCutOffWithoutMove() {
    ConnectionHistory history = established(Initiator.NOBODY, How.FIN);
    history.onEndSeenByClient(3 * SECOND, SeenEnd.FIN);
    assertBroken("a connection was cut off without MOVE, by FIN", history);
  }
}
