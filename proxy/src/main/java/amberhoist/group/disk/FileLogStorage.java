package amberhoist.group.disk;

import amberhoist.group.LogStorage;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Stores the log in a file, in a directory used by this member alone. */
public final class FileLogStorage implements LogStorage, AutoCloseable {
  private final Path file;
  private final Path temporaryFile;
  private FileChannel channel;

  /** Opens the log in this directory; creates directory and log where they are missing. */
  public FileLogStorage(Path directory) throws IOException {
    Files.createDirectories(directory);
    file = directory.resolve("group.log");
    temporaryFile = directory.resolve("group.log.new");
    Files.deleteIfExists(temporaryFile); // left by a crash before it was renamed
    open();
  }

  private void open() throws IOException {
    boolean existed = Files.exists(file);
    channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    if (!existed) {
      syncDirectory();
    }
  }

  @Override
  public byte[] readAll() throws IOException {
    return Files.readAllBytes(file);
  }

  @Override
  public void append(byte[] bytes) throws IOException {
    write(channel, bytes);
  }

  private static void write(FileChannel target, byte[] bytes) throws IOException {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    while (buffer.hasRemaining()) {
      target.write(buffer);
    }
  }

  @Override
  public void force() throws IOException {
    channel.force(false);
  }

  @Override
  public void replace(byte[] bytes) throws IOException {
    try (FileChannel target = FileChannel.open(temporaryFile, StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
      write(target, bytes);
      target.force(true);
    }
    channel.close();
    Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    syncDirectory();
    open();
  }

  /** Syncs the directory. Without it a crash may undo the creation or the renaming of the file. */
  private void syncDirectory() throws IOException {
    try (FileChannel directory = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
