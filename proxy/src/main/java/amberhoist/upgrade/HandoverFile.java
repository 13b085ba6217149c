package amberhoist.upgrade;

import amberhoist.upgrade.HandoverCodec.Unreadable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** The record in its file: replaced whole, under a lock, so that two processes never write over one another. */
final class HandoverFile {
  private static final String NAME = "amberhoist.handover";
  private static final int TRIES = 40; // for the lock, which is held for a write of a few hundred bytes
  private static final long PAUSE = 5_000_000; // ns between them

  private final Path file;
  private final Path fresh;
  private final Path lock;
  private final Consumer<String> unreadable;
  private Object seen; // what the file was when it was last read
  private Handover last = Handover.EMPTY;

  /** The file in this folder; {@code unreadable} is told when what it holds cannot be read. */
  HandoverFile(Path folder, Consumer<String> unreadable) {
    this.unreadable = unreadable;
    file = folder.resolve(NAME);
    fresh = folder.resolve(NAME + ".new");
    lock = folder.resolve(NAME + ".lock");
  }

  /**
   * The record as it is now. Guards against a file that is lost or spoilt calling back what was taken out: it is then
   * as it was read or written last.
   */
  Handover read() {
    try {
      Object now = state();
      if (!now.equals(seen)) {
        seen = now;
        last = HandoverCodec.read(Files.readAllBytes(file));
      }
    } catch (NoSuchFileException none) {
      seen = null;
    } catch (IOException | Unreadable fault) {
      unreadable.accept(file + " cannot be read: " + fault.getMessage());
    }
    return last;
  }

  private Object state() throws IOException {
    BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
    return List.of(now.lastModifiedTime(), now.size(), String.valueOf(now.fileKey()));
  }

  /** Changes the record, and returns what was written. */
  Handover update(UnaryOperator<Handover> change) throws IOException {
    try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      locked(channel); // until the channel is closed
      Handover before = last;
      try {
        before = HandoverCodec.read(Files.readAllBytes(file));
      } catch (NoSuchFileException none) {
        // the first record, or it was removed
      } catch (Unreadable fault) {
        if (fault.newer()) {
          throw new IOException("a newer version keeps " + file + ": " + fault.getMessage(), fault);
        }
      }
      Handover after = change.apply(before);
      Files.write(fresh, HandoverCodec.write(after));
      Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      last = after;
      seen = state();
      return after;
    }
  }

  private void locked(FileChannel channel) throws IOException {
    for (int i = 0; i < TRIES; i++) {
      try {
        if (channel.tryLock() != null) {
          return;
        }
      } catch (OverlappingFileLockException another) {
        // held within this process
      }
      LockSupport.parkNanos(PAUSE);
    }
    throw new IOException("somebody else holds " + lock);
  }
}
