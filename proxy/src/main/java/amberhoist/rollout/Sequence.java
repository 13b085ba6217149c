package amberhoist.rollout;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The changes of policy, one after the other: what the group's log leads to at every member alike. Each names the
 * version that it was made from, and takes hold only where that is still the latest.
 */
public class Sequence {
  private static final int KEPT = 1024; // answers: an older change sent again was made from a version long passed

  /**
   * A change.
   *
   * @param id the operator's, the same when it is sent again
   * @param base the version that it was made from
   * @param document the policy from then on, as a whole
   */
  public record Change(String id, long base, String document) {
    /** Refuses a change that nobody could ask after. */
    public Change {
      if (id == null || id.isEmpty() || document == null || base < 0) {
        throw new IllegalArgumentException("a change needs an id, a document and a base that is not negative");
      }
    }

    /** The change as the log's command. */
    public byte[] bytes() {
      return Bytes.write(out -> {
        out.writeUTF(id);
        out.writeLong(base);
        Bytes.text(out, document);
      });
    }

    /** The change of a log's command. */
    public static Change of(byte[] command) {
      return Bytes.read(command, in -> new Change(in.readUTF(), in.readLong(), Bytes.text(in)));
    }
  }

  /**
   * What became of a change.
   *
   * @param taken whether it took hold
   * @param version the version that it became, or the one against which it lost
   */
  public record Verdict(boolean taken, long version) {}

  private final Map<String, Verdict> verdicts = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Verdict> eldest) {
      return size() > KEPT;
    }
  };
  private long version;
  private String document = "";

  /**
   * Takes the next change of the log. One sent again gets the answer of the first time.
   *
   * @param welcome whether a new one may take hold now; otherwise it loses whatever it was made from
   */
  public Verdict take(Change change, boolean welcome) {
    Verdict before = verdicts.get(change.id());
    if (before != null) {
      return before;
    }
    boolean taken = welcome && change.base() == version;
    if (taken) {
      version++;
      document = change.document();
    }
    Verdict verdict = new Verdict(taken, version);
    verdicts.put(change.id(), verdict);
    return verdict;
  }

  /** The latest version, 0 before the first change. */
  public long version() {
    return version;
  }

  /** Its document. */
  public String document() {
    return document;
  }

  /** All of it, for a member that has been away for long. */
  public byte[] snapshot() {
    return Bytes.write(out -> {
      out.writeLong(version);
      Bytes.text(out, document);
      out.writeInt(verdicts.size());
      for (Map.Entry<String, Verdict> each : verdicts.entrySet()) {
        out.writeUTF(each.getKey());
        out.writeBoolean(each.getValue().taken());
        out.writeLong(each.getValue().version());
      }
    });
  }

  /** Goes on from this snapshot in place of what it held. */
  public void install(byte[] snapshot) {
    Bytes.read(snapshot, in -> {
      version = in.readLong();
      document = Bytes.text(in);
      verdicts.clear();
      for (int left = in.readInt(); left > 0; left--) {
        verdicts.put(in.readUTF(), new Verdict(in.readBoolean(), in.readLong()));
      }
      return null;
    });
  }
}
