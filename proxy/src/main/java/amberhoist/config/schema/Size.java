package amberhoist.config.schema;

/** An amount of memory. */
public record Size(long bytes) implements Comparable<Size> {
  private static final long KIB = 1024;

  /** So many KiB. */
  public static Size kib(long count) {
    return new Size(count * KIB);
  }

  @Override
  public int compareTo(Size other) {
    return Long.compare(bytes, other.bytes);
  }

  @Override
  public String toString() {
    if (bytes > 0 && bytes % (KIB * KIB) == 0) {
      return bytes / (KIB * KIB) + "MiB";
    }
    return bytes > 0 && bytes % KIB == 0 ? bytes / KIB + "KiB" : bytes + "B";
  }
}
