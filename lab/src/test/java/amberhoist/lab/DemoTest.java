package amberhoist.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.lab.Demo.DemoResult;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class DemoTest {
  @Test
  void clientMovesToAnotherProviderWhenItsOwnDrains() throws Exception {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    try (Demo demo = new Demo(new PrintStream(output, true, StandardCharsets.UTF_8))) {
      DemoResult result = demo.run(5);
      assertEquals(5, result.returnedLines());
      assertNotEquals(result.firstProvider(), result.secondProvider());
      assertTrue(result.hasSucceeded(), result.summary());
    }
    String text = output.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("client < UP toy-"), text);
    assertTrue(text.contains("directory < GET /v1/servers?follow=1"), text);
  }
}
