package amberhoist.rollout;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The versions of the policy, numbered by the accepted changes in the order of the group's log. Each change names the
 * version that it is based on, and is accepted only where that is still the latest.
 */
public class Sequence {
  private static final int MAX_RESULTS = 1024; // older changes, sent again, are based on past versions: rejected

  /**
   * A proposed change of the policy.
   *
   * @param id chosen by the operator, and the same when the change is sent again
   * @param base the version that the change is based on
   * @param document the whole document of the new version
   */
  public record Change(String id, long base, String document) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException for an empty id, no document or a negative base
     */
    public Change {
      if (id == null || id.isEmpty() || document == null || base < 0) {
        throw new IllegalArgumentException("a change needs an id, a document and a base that is not negative");
      }
    }

    /** Encodes the change for a command. */
    public byte[] bytes() {
      return Bytes.write(out -> {
        out.writeUTF(id);
        out.writeLong(base);
        Bytes.text(out, document);
      });
    }

    /** Decodes a change. */
    public static Change of(byte[] command) {
      return Bytes.read(command, in -> new Change(in.readUTF(), in.readLong(), Bytes.text(in)));
    }
  }

  /**
   * The result of a change.
   *
   * @param taken whether it was accepted
   * @param version the version that it created, or where it was rejected the latest one at that time
   */
  public record Verdict(boolean taken, long version) {}

  private final Map<String, Verdict> results = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Verdict> eldest) {
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
  public Verdict take(Change change, boolean acceptsNew) {
    Verdict earlierResult = results.get(change.id());
    if (earlierResult != null) {
      return earlierResult;
    }
    boolean accepted = acceptsNew && change.base() == version;
    if (accepted) {
      version++;
      document = change.document();
    }
    Verdict result = new Verdict(accepted, version);
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
    return Bytes.write(out -> {
      out.writeLong(version);
      Bytes.text(out, document);
      out.writeInt(results.size());
      for (Map.Entry<String, Verdict> each : results.entrySet()) {
        out.writeUTF(each.getKey());
        out.writeBoolean(each.getValue().taken());
        out.writeLong(each.getValue().version());
      }
    });
  }

  /** Replaces the state by a snapshot. */
  public void install(byte[] snapshot) {
    Bytes.read(snapshot, in -> {
      version = in.readLong();
      document = Bytes.text(in);
      results.clear();
      for (int remaining = in.readInt(); remaining > 0; remaining--) {
        results.put(in.readUTF(), new Verdict(in.readBoolean(), in.readLong()));
      }
      return null;
    });
  }
}
