package amberhoist.rollout;

import amberhoist.rollout.PolicyVersions.ChangeResult;
import amberhoist.rollout.PolicyVersions.PolicyChange;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;

/**
 * The replicated state machine of a policy change. A change is proposed, prepared by the members, and concluded: it
 * comes into force or is withdrawn. One change is pending at a time. Every member applies the same commands in the
 * order of the log, and so reaches the same state.
 */
public class Rollout {
  private static final int PROPOSE = 1;
  private static final int PREPARED = 2;
  private static final int CONCLUDE = 3;

  private final PolicyVersions versions;
  private final Set<String> preparedMembers = new TreeSet<>();
  private boolean hasPending;
  private long inForceVersion;
  private String inForceDocument = "";

  /** Creates the initial state over these versions, to which no change has been applied yet. */
  public Rollout(PolicyVersions versions) {
    this.versions = versions;
  }

  /** Encodes the command that proposes a change. */
  public static byte[] proposeCommand(PolicyChange change) {
    byte[] bytes = change.encode();
    return BinaryCodec.encode(out -> {
      out.writeByte(PROPOSE);
      out.writeInt(bytes.length);
      out.write(bytes);
    });
  }

  /** Decodes the change that such a command proposes. */
  public static PolicyChange decodeProposal(byte[] command) {
    return PolicyChange.decode(Arrays.copyOfRange(command, 5, command.length));
  }

  /** Encodes the command of a member that has prepared this version, and uses none until the change is concluded. */
  public static byte[] prepared(String member, long version) {
    return BinaryCodec.encode(out -> {
      out.writeByte(PREPARED);
      out.writeUTF(member);
      out.writeLong(version);
    });
  }

  /**
   * Encodes the command that concludes the change to this version. If there are several, the first one counts.
   *
   * @param comesIntoForce whether the version comes into force, else it is withdrawn
   */
  public static byte[] concludeCommand(long version, boolean comesIntoForce) {
    return BinaryCodec.encode(out -> {
      out.writeByte(CONCLUDE);
      out.writeLong(version);
      out.writeBoolean(comesIntoForce);
    });
  }

  /** Applies the next command of the log; returns the result of a proposed change, null for other commands. */
  public ChangeResult apply(byte[] command) {
    return BinaryCodec.decode(command, in -> {
      int kind = in.readByte();
      switch (kind) {
        case PROPOSE:
          byte[] bytes = new byte[in.readInt()];
          in.readFully(bytes);
          return applyProposal(bytes);
        case PREPARED:
          String member = in.readUTF();
          if (in.readLong() == versions.version() && hasPending) {
            preparedMembers.add(member);
          }
          return null;
        case CONCLUDE:
          if (in.readLong() == versions.version() && hasPending) {
            hasPending = false;
            preparedMembers.clear();
            if (in.readBoolean()) {
              inForceVersion = versions.version();
              inForceDocument = versions.document();
            }
          }
          return null;
        default:
          throw new IllegalArgumentException("unknown command kind " + kind + ", written by a later version");
      }
    });
  }

  private ChangeResult applyProposal(byte[] bytes) {
    long versionBefore = versions.version();
    ChangeResult result = versions.apply(PolicyChange.decode(bytes), !hasPending);
    hasPending |= versions.version() != versionBefore;
    return result;
  }

  /** Returns the version in force. No member may use it while a change is {@link #isPending}. */
  public long inForceVersion() {
    return inForceVersion;
  }

  /** Returns the document in force, empty before the first change. */
  public String inForceDocument() {
    return inForceDocument;
  }

  /** Returns the latest version, be it in force, pending or withdrawn: the next change must be based on it. */
  public long latestVersion() {
    return versions.version();
  }

  /** Returns the document of the latest version. */
  public String latestDocument() {
    return versions.document();
  }

  /** Whether the latest version is proposed but not concluded. */
  public boolean isPending() {
    return hasPending;
  }

  /** Returns the members that have prepared the pending version. */
  public Set<String> prepared() {
    return Set.copyOf(preparedMembers);
  }

  /** Encodes the whole state, for a member that lacks entries which are no longer in the log. */
  public byte[] snapshot() {
    byte[] versionsSnapshot = versions.snapshot();
    return BinaryCodec.encode(out -> {
      out.writeLong(inForceVersion);
      BinaryCodec.string(out, inForceDocument);
      out.writeBoolean(hasPending);
      out.writeInt(preparedMembers.size());
      for (String member : preparedMembers) {
        out.writeUTF(member);
      }
      out.writeInt(versionsSnapshot.length);
      out.write(versionsSnapshot);
    });
  }

  /** Replaces the state by a snapshot. */
  public void installSnapshot(byte[] snapshot) {
    BinaryCodec.decode(snapshot, in -> {
      inForceVersion = in.readLong();
      inForceDocument = BinaryCodec.string(in);
      hasPending = in.readBoolean();
      preparedMembers.clear();
      for (int remaining = in.readInt(); remaining > 0; remaining--) {
        preparedMembers.add(in.readUTF());
      }
      byte[] versionsSnapshot = new byte[in.readInt()];
      in.readFully(versionsSnapshot);
      versions.installSnapshot(versionsSnapshot);
      return null;
    });
  }
}
