package amberhoist.config.schema;

/** An amount of memory in bytes. */
public record Size(long bytes) implements Comparable<Size> {
  private static final long BYTES_PER_KIB = 1024;

  /** Returns a size of {@code count} KiB. */
  public static Size ofKib(long count) {
    return new Size(count * BYTES_PER_KIB);
  }

  @Override
  public int compareTo(Size other) {
    return Long.compare(bytes, other.bytes);
  }

  /** Returns the size in the largest of MiB, KiB and B that needs no fraction. */
  @Override
  public String toString() {
    if (bytes > 0 && bytes % (BYTES_PER_KIB * BYTES_PER_KIB) == 0) {
      return bytes / (BYTES_PER_KIB * BYTES_PER_KIB) + "MiB";
    }
    return bytes > 0 && bytes % BYTES_PER_KIB == 0 ? bytes / BYTES_PER_KIB + "KiB" : bytes + "B";
  }
}
