package amberhoist.lab.group;

import amberhoist.group.Disk;
import amberhoist.rollout.Sequence;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The defects of {@link GroupMutant}, each put between a member and what it rests on. */
final class Defects {
  private static final int VOTE = 3; // the kind of a frame that holds term and vote
  private static final int HEAD = 9;
  private static final int TAIL = 4;

  private Defects() {}

  /** The disk that a member starts with; {@code copies} hold what stood there at each of its starts. */
  static Disk disk(GroupMutant mutant, EmulatedDisk disk, List<byte[]> copies) {
    if (mutant == GroupMutant.FORGETS_ON_RESTART && copies.size() > 1) {
      disk.replace(new byte[0]);
    } else if (mutant == GroupMutant.TAKES_OLD_COPY && copies.size() > 2) {
      disk.replace(copies.get(copies.size() - 3));
    }
    return mutant == GroupMutant.FORGETS_VOTES ? new VotelessDisk(disk) : disk;
  }

  static Sequence sequence(GroupMutant mutant) {
    return switch (mutant) {
      case TAKES_TWICE -> new Sequence() {
        private int taken;

        @Override
        public Verdict take(Change change, boolean welcome) {
          return super.take(new Change(change.id() + '#' + taken++, change.base(), change.document()), welcome);
        }
      };
      case IGNORES_BASE -> new Sequence() {
        @Override
        public Verdict take(Change change, boolean welcome) {
          return super.take(new Change(change.id(), version(), change.document()), welcome);
        }
      };
      default -> new Sequence();
    };
  }

  /** Leaves out the frames that hold votes. */
  private record VotelessDisk(EmulatedDisk disk) implements Disk {
    @Override
    public byte[] read() {
      return disk.read();
    }

    private static byte[] without(byte[] bytes) {
      ByteArrayOutputStream left = new ByteArrayOutputStream();
      for (int at = 0; at < bytes.length;) {
        int length = HEAD + ByteBuffer.wrap(bytes).getInt(at + 1) + TAIL;
        if (bytes[at] != VOTE) {
          left.write(bytes, at, length);
        }
        at += length;
      }
      return left.toByteArray();
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      disk.append(without(bytes));
    }

    @Override
    public void force() throws IOException {
      disk.force();
    }

    @Override
    public void replace(byte[] bytes) {
      disk.replace(without(bytes));
    }
  }
}
