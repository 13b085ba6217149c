package amberhoist.ids;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * A table of ids that were claimed within the last minute, of a fixed size. Several processes may share its slots: each
 * slot changes by one atomic operation, and of two that claim an id at the same time at most one succeeds. Times are
 * microseconds of a clock that all sharing processes read alike.
 *
 * <p>A slot holds 40 bits of the hash of an id and the time at which its claim expires. The hash also selects one of
 * the buckets, so that two ids are taken for one less than once in a million million requests. Where a bucket is full,
 * the claim that expires first gives way.
 */
public final class IdTable {
  /** How long a claim holds, counted anew at each renewal, in microseconds: the longest time that a client waits. */
  public static final long RETENTION_MICROS = 60_000_000;
  /** The number of slots: a minute of about a thousand requests a second. */
  public static final int SLOT_COUNT = 1 << 16;

  private static final int BUCKET_SLOTS = 8;
  private static final int BUCKET_COUNT = SLOT_COUNT / BUCKET_SLOTS;
  private static final long TICK_MICROS = 10_000;
  private static final int TICK_BITS = 24;
  private static final long TICK_MASK = (1L << TICK_BITS) - 1;
  private static final long RETENTION_TICKS = RETENTION_MICROS / TICK_MICROS;
  private static final int NONE = -1;
  private static final MessageDigest HASH = newHash(); // copied for each use

  /** The memory of a table: {@link #SLOT_COUNT} numbers, initially 0. */
  public interface Slots {
    /** The number in a slot, as written last by any process. */
    long get(int slot);

    /** Sets a slot if it holds the expected number; returns whether it did. */
    boolean compareAndSet(int slot, long expected, long value);
  }

  /** The place and the mark of an id in the table. */
  public record Key(int firstSlot, long fingerprint) {
    /** Hashes an id. */
    public static Key of(String id) {
      byte[] hash = copyOfHash().digest(id.getBytes(StandardCharsets.ISO_8859_1));
      long bits = 0;
      for (int i = 0; i < Long.BYTES; i++) {
        bits = bits << Byte.SIZE | hash[i] & 0xff;
      }
      int bucket = ((hash[8] & 0xff) << Byte.SIZE | hash[9] & 0xff) % BUCKET_COUNT;
      return new Key(bucket * BUCKET_SLOTS, Math.max(1, bits >>> TICK_BITS));
    }

    private boolean isMarkedIn(long value) {
      return value >>> TICK_BITS == fingerprint;
    }
  }

  private final Slots slots;

  /** Creates a table on these slots, which may hold claims of other processes. */
  public IdTable(Slots slots) {
    this.slots = slots;
  }

  /** Creates a table that is not shared. */
  public static IdTable unshared() {
    AtomicLongArray array = new AtomicLongArray(SLOT_COUNT);
    return new IdTable(new Slots() {
      @Override
      public long get(int slot) {
        return array.get(slot);
      }

      @Override
      public boolean compareAndSet(int slot, long expected, long value) {
        return array.compareAndSet(slot, expected, value);
      }
    });
  }

  private static MessageDigest newHash() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException fault) {
      throw new IllegalStateException("every Java platform has SHA-256", fault);
    }
  }

  private static MessageDigest copyOfHash() {
    try {
      return (MessageDigest) HASH.clone();
    } catch (CloneNotSupportedException uncopyable) {
      return newHash();
    }
  }

  /** Claims an id; returns false if a claim of it holds already. */
  public boolean claim(Key key, long now) {
    while (true) {
      long[] bucket = read(key);
      if (findHeld(key, bucket, now, NONE) != NONE) {
        return false;
      }
      int chosen = choose(key, bucket, now);
      if (slots.compareAndSet(key.firstSlot + chosen, bucket[chosen], entry(key, now))) {
        boolean isSole = findHeld(key, read(key), now, chosen) == NONE;
        if (!isSole) { // claimed by another process at the same time: the id goes to one of the two or to neither
          slots.compareAndSet(key.firstSlot + chosen, entry(key, now), 0);
        }
        return isSole;
      }
    }
  }

  /** Makes a claim hold from now on for the whole retention time, also if it has expired or given way. */
  public void renew(Key key, long now) {
    long[] bucket = read(key);
    int chosen = choose(key, bucket, now);
    slots.compareAndSet(key.firstSlot + chosen, bucket[chosen], entry(key, now));
  }

  /** Ends a claim: the id may be claimed again. */
  public void release(Key key) {
    long[] bucket = read(key);
    for (int i = 0; i < BUCKET_SLOTS; i++) {
      if (key.isMarkedIn(bucket[i])) {
        slots.compareAndSet(key.firstSlot + i, bucket[i], 0);
      }
    }
  }

  private long[] read(Key key) {
    long[] bucket = new long[BUCKET_SLOTS];
    for (int i = 0; i < BUCKET_SLOTS; i++) {
      bucket[i] = slots.get(key.firstSlot + i);
    }
    return bucket;
  }

  /** The index in the bucket of a claim of this id that holds, other than the one given; NONE if there is none. */
  private static int findHeld(Key key, long[] bucket, long now, int otherThan) {
    for (int i = 0; i < BUCKET_SLOTS; i++) {
      if (i != otherThan && key.isMarkedIn(bucket[i]) && remainingTicks(bucket[i], now) > 0) {
        return i;
      }
    }
    return NONE;
  }

  /** The index in the bucket of an earlier claim of this id, else of one that has expired or expires first. */
  private static int choose(Key key, long[] bucket, long now) {
    int chosen = 0;
    for (int i = 0; i < BUCKET_SLOTS; i++) {
      if (key.isMarkedIn(bucket[i])) {
        return i;
      }
      chosen = remainingTicks(bucket[i], now) < remainingTicks(bucket[chosen], now) ? i : chosen;
    }
    return chosen;
  }

  private static long entry(Key key, long now) {
    return key.fingerprint << TICK_BITS | now / TICK_MICROS + RETENTION_TICKS & TICK_MASK;
  }

  /** How long a claim still holds, 0 if it does not: a time beyond the retention is left from long ago. */
  private static long remainingTicks(long value, long now) {
    long remaining = (value & TICK_MASK) - now / TICK_MICROS & TICK_MASK;
    return value == 0 || remaining > RETENTION_TICKS ? 0 : remaining;
  }
}
