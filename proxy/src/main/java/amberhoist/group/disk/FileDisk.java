package amberhoist.group.disk;

import amberhoist.group.Disk;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A log in a folder of the member's own. */
public final class FileDisk implements Disk, AutoCloseable {
  private final Path file;
  private final Path fresh;
  private FileChannel channel;

  /** The log in this folder, which is made where it is missing. */
  public FileDisk(Path folder) throws IOException {
    Files.createDirectories(folder);
    file = folder.resolve("group.log");
    fresh = folder.resolve("group.log.new");
    Files.deleteIfExists(fresh); // a crash came before it was in place
    open();
  }

  private void open() throws IOException {
    boolean existed = Files.exists(file);
    channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    if (!existed) {
      forceFolder();
    }
  }

  @Override
  public byte[] read() throws IOException {
    return Files.readAllBytes(file);
  }

  @Override
  public void append(byte[] bytes) throws IOException {
    write(channel, bytes);
  }

  private static void write(FileChannel to, byte[] bytes) throws IOException {
    ByteBuffer left = ByteBuffer.wrap(bytes);
    while (left.hasRemaining()) {
      to.write(left);
    }
  }

  @Override
  public void force() throws IOException {
    channel.force(false);
  }

  @Override
  public void replace(byte[] bytes) throws IOException {
    try (FileChannel to = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
        StandardOpenOption.WRITE)) {
      write(to, bytes);
      to.force(true);
    }
    channel.close();
    Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    forceFolder();
    open();
  }

  /** Without it a crash may bring back the name of the old file. */
  private void forceFolder() throws IOException {
    try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
      folder.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
