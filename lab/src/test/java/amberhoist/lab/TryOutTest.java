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
  void clientIsPlacedElsewhereOnceItsProviderDrains() throws Exception {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    try (TryOut demo = new TryOut(new PrintStream(output, true, StandardCharsets.UTF_8))) {
      Round result = demo.run(5);
      assertEquals(5, result.returned());
      assertNotEquals(result.first(), result.second());
      assertTrue(result.held(), result.verdict());
    }
    String text = output.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("client < UP toy-"), text);
    assertTrue(text.contains("directory < GET /v1/servers?follow=1"), text);
  }
}
