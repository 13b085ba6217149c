package amberhoist.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Faults of system calls in the proxy's process, by a library that is compiled here and preloaded there.
 *
 * @param library the compiled library, null for no faults
 * @param kinds the kinds of faults, separated by commas
 */
record SyscallFaults(Path library, String kinds) {
  static final SyscallFaults NONE = new SyscallFaults(null, "");
  private static final Path SOURCE = Path.of("lab/src/main/c/syscall_faults.c");

  /** Compiles the library into the folder; no faults if this machine has no C compiler. */
  static SyscallFaults compile(String kinds, Path folder) throws IOException, InterruptedException {
    Files.createDirectories(folder);
    Path library = folder.resolve("syscall_faults.so").toAbsolutePath();
    Process compiler;
    try {
      compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", library.toString(),
          SOURCE.toString(), "-ldl").inheritIO().start();
    } catch (IOException none) {
      System.out.println("no C compiler: faults of system calls are left out");
      return NONE;
    }
    if (compiler.waitFor() != 0) {
      throw new IOException("cannot compile " + SOURCE);
    }
    return new SyscallFaults(library, kinds);
  }

  /** Adds what the process of this seed needs to its environment. */
  void addTo(Map<String, String> environment, long seed) {
    if (library != null) {
      environment.put("LD_PRELOAD", library.toString());
      environment.put("AMBERHOIST_FAULTS", kinds);
      environment.put("AMBERHOIST_FAULT_SEED", String.valueOf(seed));
    }
  }
}
