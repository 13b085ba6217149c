package amberhoist.cli;

import static org.junit.Assert.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.junit.Test;

/** The start script of a deployment, and the class-data-sharing training run of the build. */
public class DeployTest {
  private static String serveCommand(String limits) throws Exception {
    Path folder = Files.createTempDirectory("deploy");
    Path java = folder.resolve("java");
    Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
    Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
    Path config = folder.resolve("config.json");
    Files.writeString(config, "{\"name\":\"n0\",\"limits\":" + limits + ",\"settings\":{}}");
    ProcessBuilder builder = new ProcessBuilder("sh", "deploy/serve.sh")
        .directory(new File("..")).redirectErrorStream(true);
    builder.environment().merge("PATH", folder.toString(), (path, prefix) -> prefix + ':' + path);
    builder.environment().put("LB_CONFIG", config.toString());
    Process process = builder.start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    process.waitFor();
    return output;
  }

  @Test
  public void heapFollowsTheMemoryLimit() throws Exception {
    assertTrue(serveCommand("{\"cores\":0.5,\"memory_mb\":32,\"sockets\":256}").startsWith("-Xmx8m "));
    assertTrue(serveCommand("{\"memory_mb\": 96.5}").startsWith("-Xmx36m "));
    assertTrue(serveCommand("{\"memory_mb\":2048}").startsWith("-Xmx1012m "));
    assertTrue(serveCommand("{}").startsWith("-Xmx84m "));
    // with a management address, two processes share the memory during an upgrade
    assertTrue(serveCommand("{},\"mgmt\":\"127.0.0.1:1\"").startsWith("-Xmx36m "));
    assertTrue(serveCommand("{\"memory_mb\":144},\n\"mgmt\":\"127.0.0.1:1\"").startsWith("-Xmx24m "));
  }

  /** A platform with IPv4 only refuses dual-stack sockets, so that the proxy would not start. */
  @Test
  public void runtimeUsesIpv4Only() throws Exception {
    assertTrue(serveCommand("{}").contains(" -Djava.net.preferIPv4Stack=true "));
  }

  @Test
  public void trainingRunSucceeds() throws Exception {
    TrainingRun.run("../example/config.json");
  }
}
