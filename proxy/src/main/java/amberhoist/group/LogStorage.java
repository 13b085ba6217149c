package amberhoist.group;

import java.io.IOException;

/** Durable storage of a member's log. After an {@link IOException} its content is unknown until it is read again. */
public interface LogStorage {
  /** Returns the whole content, empty where nothing was written yet. */
  byte[] readAll() throws IOException;

  /** Appends the bytes. Until {@link #force} returns, a crash may lose them, or leave a torn write. */
  void append(byte[] bytes) throws IOException;

  /** Returns once everything appended so far is durable. */
  void force() throws IOException;

  /** Replaces the whole content durably and atomically: after a crash either the old or the new content is there. */
  void replace(byte[] bytes) throws IOException;
}
