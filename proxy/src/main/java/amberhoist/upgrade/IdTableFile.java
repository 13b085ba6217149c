package amberhoist.upgrade;

import amberhoist.ids.IdTable;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;

/**
 * The slots of an {@link IdTable} in a file that the processes of one proxy map into their memory. A claim is visible
 * to the other processes at once, also if this one is killed right after it, and costs no system call.
 */
public final class IdTableFile implements IdTable.Slots {
  private static final String FILE_NAME = "amberhoist.ids";
  private static final int FILE_BYTES = IdTable.SLOT_COUNT * Long.BYTES;
  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer memory;

  private IdTableFile(ByteBuffer memory) {
    this.memory = memory;
  }

  /**
   * Returns a table shared through the file of this folder; an unshared one without a folder, or if it cannot be used.
   *
   * @param folder may be null
   * @param failureListener called with the reason if the file cannot be used
   */
  public static IdTable openTable(Path folder, Consumer<String> failureListener) {
    if (folder == null) {
      return IdTable.unshared();
    }
    try {
      return new IdTable(open(folder));
    } catch (IOException fault) {
      failureListener.accept(fault.toString());
      return IdTable.unshared();
    }
  }

  /**
   * Maps the file of this folder; creates it first if there is none.
   *
   * @throws IOException if it cannot be created or mapped, or has another size
   */
  static IdTableFile open(Path folder) throws IOException {
    Path file = folder.resolve(FILE_NAME);
    if (!Files.exists(file)) {
      create(file);
    }
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      if (channel.size() != FILE_BYTES) {
        throw new IOException(file + " has " + channel.size() + " bytes instead of " + FILE_BYTES);
      }
      return new IdTableFile(channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES));
    }
  }

  /** Creates the file whole under another name first: a hole in it would end the process once the folder is full. */
  private static void create(Path file) throws IOException {
    Path complete = Files.createTempFile(file.getParent(), FILE_NAME, ".new");
    try {
      Files.write(complete, new byte[FILE_BYTES]);
      Files.createLink(file, complete);
    } catch (FileAlreadyExistsException created) {
      // another process was faster
    } catch (UnsupportedOperationException fault) {
      throw new IOException("no links in " + file.getParent(), fault);
    } finally {
      Files.delete(complete);
    }
  }

  @Override
  public long get(int slot) {
    return (long) LONGS.getVolatile(memory, slot * Long.BYTES);
  }

  @Override
  public boolean compareAndSet(int slot, long expected, long value) {
    return LONGS.compareAndSet(memory, slot * Long.BYTES, expected, value);
  }
}
