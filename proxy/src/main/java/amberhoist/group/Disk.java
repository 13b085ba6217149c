package amberhoist.group;

import java.io.IOException;

/** The file behind a member's log. After any fault, what it holds is not known until it is read anew. */
public interface Disk {
  /** All that it holds, nothing where there is no file yet. */
  byte[] read() throws IOException;

  /** Adds these at the end; after a crash they may be there in part or not at all, unless {@link #force} came first. */
  void append(byte[] bytes) throws IOException;

  /** Returns once all that was added outlives a crash. */
  void force() throws IOException;

  /** Puts these in the place of all that it holds, which outlives a crash: either the old or the new. */
  void replace(byte[] bytes) throws IOException;
}
