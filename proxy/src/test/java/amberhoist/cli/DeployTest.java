package amberhoist.cli;

import static org.junit.Assert.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.junit.Test;

/** The scripts of a deployment: how they start the proxy, and that the build's rehearsal goes through. */
public class DeployTest {
  private static String command(String limits) throws Exception {
    Path folder = Files.createTempDirectory("deploy");
    Path java = folder.resolve("java");
    Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
    Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
    Path config = folder.resolve("config.json");
    Files.writeString(config, "{\"name\":\"n0\",\"limits\":" + limits + ",\"settings\":{}}");
    ProcessBuilder builder = new ProcessBuilder("sh", "deploy/serve.sh")
        .directory(new File("..")).redirectErrorStream(true);
    builder.environment().merge("PATH", folder.toString(), (path, first) -> first + ':' + path);
    builder.environment().put("LB_CONFIG", config.toString());
    Process process = builder.start();
    String told = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    process.waitFor();
    return told;
  }

  @Test
  public void theHeapFollowsTheMemoryLimit() throws Exception {
    assertTrue(command("{\"cores\":0.5,\"memory_mb\":32,\"sockets\":256}").startsWith("-Xmx8m "));
    assertTrue(command("{\"memory_mb\": 96.5}").startsWith("-Xmx36m "));
    assertTrue(command("{\"memory_mb\":2048}").startsWith("-Xmx1012m "));
    assertTrue(command("{}").startsWith("-Xmx84m "));
    assertTrue(command("{},\"mgmt\":\"127.0.0.1:1\"").startsWith("-Xmx36m ")); // two share it
    assertTrue(command("{\"memory_mb\":144},\n\"mgmt\":\"127.0.0.1:1\"").startsWith("-Xmx24m "));
  }

  /** Guards against dual-stack sockets, which a platform that knows IPv4 only refuses: nothing would come up. */
  @Test
  public void theRuntimeIsHeldToIpv4() throws Exception {
    assertTrue(command("{}").contains(" -Djava.net.preferIPv4Stack=true "));
  }

  @Test
  public void theRehearsalOfTheBuildGoesThrough() throws Exception {
    TrainingRun.run("../example/config.json");
  }
}
