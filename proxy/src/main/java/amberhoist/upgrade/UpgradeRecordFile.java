package amberhoist.upgrade;

import amberhoist.upgrade.UpgradeRecordCodec.UnreadableRecordException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** Stores the record in a file. Updates hold a lock and replace the file atomically, so that no update is lost. */
final class UpgradeRecordFile {
  private static final String FILE_NAME = "amberhoist.handover";
  private static final int MAX_LOCK_ATTEMPTS = 40; // the lock is held while a few hundred bytes are written
  private static final long LOCK_RETRY_NANOS = 5_000_000;

  /** For this long after a write another one may leave time, size and key as they are: file times have coarse ticks. */
  private static final long AMBIGUOUS_MILLIS = 1_000;

  private record FileState(FileTime modifiedAt, long size, String key) {}

  private final Path file;
  private final Path newFile;
  private final Path lockFile;
  private final Consumer<String> unreadableListener;
  private FileState lastFileState; // when it was last read; null if a change might have left it as it was
  private UpgradeRecord lastRecord = UpgradeRecord.EMPTY;

  /**
   * Creates an accessor; touches no file yet.
   *
   * @param folder the folder that the processes share
   * @param unreadableListener called with a message when the file cannot be read
   */
  UpgradeRecordFile(Path folder, Consumer<String> unreadableListener) {
    this.unreadableListener = unreadableListener;
    file = folder.resolve(FILE_NAME);
    newFile = folder.resolve(FILE_NAME + ".new");
    lockFile = folder.resolve(FILE_NAME + ".lock");
  }

  /**
   * Returns the current record. If the file is missing or corrupt, returns the record that was last read or written:
   * otherwise the loss of the file would resume all suspended providers.
   */
  UpgradeRecord read() {
    try {
      FileState state = fileState();
      if (!state.equals(lastFileState)) {
        lastFileState = unambiguous(state);
        lastRecord = UpgradeRecordCodec.decode(Files.readAllBytes(file));
      }
    } catch (NoSuchFileException missing) {
      lastFileState = null;
    } catch (IOException | UnreadableRecordException fault) {
      unreadableListener.accept(file + " cannot be read: " + fault.getMessage());
    }
    return lastRecord;
  }

  private FileState fileState() throws IOException {
    BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
    return new FileState(attributes.lastModifiedTime(), attributes.size(), String.valueOf(attributes.fileKey()));
  }

  private static FileState unambiguous(FileState state) {
    return state.modifiedAt().toMillis() < System.currentTimeMillis() - AMBIGUOUS_MILLIS ? state : null;
  }

  /**
   * Applies a change to the stored record and returns the new record.
   *
   * @throws IOException if the file cannot be locked or written, or holds a record of a newer version
   */
  UpgradeRecord update(UnaryOperator<UpgradeRecord> change) throws IOException {
    try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      acquireLock(channel); // held until the channel is closed
      UpgradeRecord before = lastRecord;
      try {
        before = UpgradeRecordCodec.decode(Files.readAllBytes(file));
      } catch (NoSuchFileException missing) {
        // not written yet, or removed
      } catch (UnreadableRecordException fault) {
        if (fault.isNewerVersion()) {
          throw new IOException("a newer version has written " + file + ": " + fault.getMessage(), fault);
        }
      }
      UpgradeRecord after = change.apply(before);
      Files.write(newFile, UpgradeRecordCodec.encode(after));
      Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      lastRecord = after;
      lastFileState = null;
      return after;
    }
  }

  private void acquireLock(FileChannel channel) throws IOException {
    for (int i = 0; i < MAX_LOCK_ATTEMPTS; i++) {
      try {
        if (channel.tryLock() != null) {
          return;
        }
      } catch (OverlappingFileLockException ignored) {
        // held by this process
      }
      LockSupport.parkNanos(LOCK_RETRY_NANOS);
    }
    throw new IOException("another process holds " + lockFile);
  }
}
