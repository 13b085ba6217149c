package amberhoist.upgrade;

import amberhoist.upgrade.UpgradeRecord.Member;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Hands the list of providers that a process serves by to the process that starts after it: a file for each process
 * that starts, named after its token, written whole again at each change. Confined to one thread.
 */
final class ListTransfer {
  private static final String FILE_PREFIX = "amberhoist.list.";

  private final Path folder;
  private final Map<String, byte[]> written = new HashMap<>(); // by token of the process that it was written for
  private byte[] taken = new byte[0];

  ListTransfer(Path folder) {
    this.folder = folder;
  }

  private Path fileFor(String token) {
    return folder.resolve(FILE_PREFIX + token);
  }

  /** Writes the list for these processes, unless it was written for them already. */
  void write(List<Member> successors, byte[] list) throws IOException {
    written.keySet().removeIf(token -> successors.stream().noneMatch(member -> member.token().equals(token)));
    for (Member successor : successors) {
      if (!Arrays.equals(written.get(successor.token()), list)) {
        Path newFile = folder.resolve(FILE_PREFIX + successor.token() + ".new");
        Files.write(newFile, list);
        Files.move(newFile, fileFor(successor.token()), StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
        written.put(successor.token(), list);
      }
    }
  }

  /** Returns the list that was written for this process, if it has changed since the last call. */
  Optional<byte[]> take(String token) throws IOException {
    try {
      byte[] list = Files.readAllBytes(fileFor(token));
      if (Arrays.equals(list, taken)) {
        return Optional.empty();
      }
      taken = list;
      return Optional.of(list);
    } catch (NoSuchFileException notWritten) {
      return Optional.empty();
    }
  }

  /** Deletes what was written for processes that are not members, or for this one. */
  void deleteUnused(List<Member> members, String token) throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
      for (Path file : files) {
        String reader = file.getFileName().toString().substring(FILE_PREFIX.length());
        if (reader.equals(token) || members.stream().noneMatch(member -> member.token().equals(reader))) {
          Files.deleteIfExists(file);
        }
      }
    }
  }
}
