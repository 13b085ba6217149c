package amberhoist.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.lab.TryOut.Round;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class TryOutTest {
  @Test
  void aClientIsServedAndFollowsADrain() throws Exception {
    ByteArrayOutputStream told = new ByteArrayOutputStream();
    try (TryOut tryOut = new TryOut(new PrintStream(told, true, StandardCharsets.UTF_8))) {
      Round round = tryOut.run(5);
      assertEquals(5, round.returned());
      assertNotEquals(round.first(), round.second());
      assertTrue(round.held(), round.verdict());
    }
    String text = told.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("client < UP toy-"), text);
    assertTrue(text.contains("directory < GET /v1/servers?follow=1"), text);
  }
}
