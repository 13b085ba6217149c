package amberhoist.rollout;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The versions of the policy, numbered by the accepted changes in the order of the group's log. Each change names the
 * version that it is based on, and is accepted only where that is still the latest.
 */
public class PolicyVersions {
  private static final int MAX_RESULTS = 1024; // older changes, sent again, are based on past versions: rejected

  /**
   * A proposed change of the policy.
   *
   * @param id chosen by the operator, and the same when the change is sent again
   * @param baseVersion the version that the change is based on
   * @param document the whole document of the new version
   */
  public record PolicyChange(String id, long baseVersion, String document) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException for an empty id, no document or a negative base
     */
    public PolicyChange {
      if (id == null || id.isEmpty() || document == null || baseVersion < 0) {
        throw new IllegalArgumentException("a change needs an id, a document and a base that is not negative");
      }
    }

    /** Encodes the change for a command. */
    public byte[] encode() {
      return BinaryCodec.encode(out -> {
        out.writeUTF(id);
        out.writeLong(baseVersion);
        BinaryCodec.string(out, document);
      });
    }

    /** Decodes a change. */
    public static PolicyChange decode(byte[] command) {
      return BinaryCodec.decode(command, in -> new PolicyChange(in.readUTF(), in.readLong(), BinaryCodec.string(in)));
    }
  }

  /**
   * The result of a change.
   *
   * @param isAccepted whether it was accepted
   * @param version the version that it created, or where it was rejected the latest one at that time
   */
  public record ChangeResult(boolean isAccepted, long version) {}

  private final Map<String, ChangeResult> results = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, ChangeResult> eldest) {
      return size() > MAX_RESULTS;
    }
  };
  private long version;
  private String document = "";

  /**
   * Applies the next change of the log. A change sent again gets the result of the first time.
   *
   * @param acceptsNew whether a new change may be accepted now; otherwise it is rejected whatever it is based on
   */
  public ChangeResult apply(PolicyChange change, boolean acceptsNew) {
    ChangeResult earlierResult = results.get(change.id());
    if (earlierResult != null) {
      return earlierResult;
    }
    boolean accepted = acceptsNew && change.baseVersion() == version;
    if (accepted) {
      version++;
      document = change.document();
    }
    ChangeResult result = new ChangeResult(accepted, version);
    results.put(change.id(), result);
    return result;
  }

  /** Returns the latest version, 0 before the first change. */
  public long version() {
    return version;
  }

  /** Returns the document of the latest version. */
  public String document() {
    return document;
  }

  /** Encodes the whole state, for a member that lacks entries which are no longer in the log. */
  public byte[] snapshot() {
    return BinaryCodec.encode(out -> {
      out.writeLong(version);
      BinaryCodec.string(out, document);
      out.writeInt(results.size());
      for (Map.Entry<String, ChangeResult> each : results.entrySet()) {
        out.writeUTF(each.getKey());
        out.writeBoolean(each.getValue().isAccepted());
        out.writeLong(each.getValue().version());
      }
    });
  }

  /** Replaces the state by a snapshot. */
  public void installSnapshot(byte[] snapshot) {
    BinaryCodec.decode(snapshot, in -> {
      version = in.readLong();
      document = BinaryCodec.string(in);
      results.clear();
      for (int remaining = in.readInt(); remaining > 0; remaining--) {
        results.put(in.readUTF(), new ChangeResult(in.readBoolean(), in.readLong()));
      }
      return null;
    });
  }
}
