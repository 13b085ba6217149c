package amberhoist.lab.group;

import amberhoist.group.LogStorage;
import amberhoist.rollout.PolicyVersions;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** Creates the disks and policy versions of members, with the defects of {@link GroupMutant} built in. */
final class GroupMutations {
  private static final int VOTE_FRAME_KIND = 3; // kind of the frames that hold term and vote
  private static final int FRAME_HEADER_BYTES = 9;
  private static final int FRAME_CHECKSUM_BYTES = 4;

  private GroupMutations() {}

  /**
   * Returns the disk that a member starts with.
   *
   * @param contentsAtStarts the disk's contents at each start so far, this one included
   */
  static LogStorage diskAtStart(GroupMutant mutant, EmulatedDisk disk, List<byte[]> contentsAtStarts) {
    if (mutant == GroupMutant.FORGETS_ON_RESTART && contentsAtStarts.size() > 1) {
      disk.replace(new byte[0]);
    } else if (mutant == GroupMutant.TAKES_OLD_COPY && contentsAtStarts.size() > 2) {
      disk.replace(contentsAtStarts.get(contentsAtStarts.size() - 3));
    }
    return mutant == GroupMutant.FORGETS_VOTES ? new VoteDroppingDisk(disk) : disk;
  }

  /** Returns the policy versions of a member before the first change. */
  static PolicyVersions newPolicyVersions(GroupMutant mutant) {
    return switch (mutant) {
      case TAKES_TWICE -> new PolicyVersions() {
        private int changeCount;

        @Override
        public ChangeResult apply(PolicyChange change, boolean acceptsNew) {
          return super.apply(
              new PolicyChange(change.id() + '#' + changeCount++, change.baseVersion(), change.document()), acceptsNew);
        }
      };
      case IGNORES_BASE -> new PolicyVersions() {
        @Override
        public ChangeResult apply(PolicyChange change, boolean acceptsNew) {
          return super.apply(new PolicyChange(change.id(), version(), change.document()), acceptsNew);
        }
      };
      default -> new PolicyVersions();
    };
  }

  /** Drops the frames that hold votes. */
  private record VoteDroppingDisk(EmulatedDisk disk) implements LogStorage {
    @Override
    public byte[] readAll() {
      return disk.readAll();
    }

    private static byte[] withoutVotes(byte[] bytes) {
      ByteArrayOutputStream kept = new ByteArrayOutputStream();
      for (int offset = 0; offset < bytes.length;) {
        int length = FRAME_HEADER_BYTES + ByteBuffer.wrap(bytes).getInt(offset + 1) + FRAME_CHECKSUM_BYTES;
        if (bytes[offset] != VOTE_FRAME_KIND) {
          kept.write(bytes, offset, length);
        }
        offset += length;
      }
      return kept.toByteArray();
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      disk.append(withoutVotes(bytes));
    }

    @Override
    public void force() throws IOException {
      disk.force();
    }

    @Override
    public void replace(byte[] bytes) {
      disk.replace(withoutVotes(bytes));
    }
  }
}
