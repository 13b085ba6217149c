package amberhoist.distribution;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The transfers that a distributor can serve: deltas from the documents that it keeps, and snapshots for subscribers
 * of other versions. Both the documents and the computed transfers are bounded.
 */
public final class TransferCache {
  private static final int MAX_BASES = 64;
  private static final int MAX_BASE_BYTES = 2 * Transfer.MAX_DOCUMENT_BYTES;
  private static final int MAX_CACHED_TRANSFERS = 64;

  private record Key(long base, long version) {}

  private final TreeMap<Long, Document> bases = new TreeMap<>();
  private final Map<Key, Transfer> cache = new LinkedHashMap<>(16, 0.75f, true) {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Key, Transfer> eldest) {
      return size() > MAX_CACHED_TRANSFERS;
    }
  };
  private long baseBytes;

  /** Keeps a document in force as a base for deltas, and evicts the oldest ones above the bounds. */
  public void keepBase(Document document) {
    Document replaced = bases.put(document.version(), document);
    baseBytes += document.bytes().length - (replaced == null ? 0 : replaced.bytes().length);
    while (bases.size() > 1 && (bases.size() > MAX_BASES || baseBytes > MAX_BASE_BYTES)) {
      baseBytes -= bases.pollFirstEntry().getValue().bytes().length;
    }
  }

  /** Returns the transfer to this document for a subscriber that has the other version. */
  public Transfer transferTo(Document target, long heldVersion) {
    Document base = bases.getOrDefault(heldVersion, Document.EMPTY);
    return cached(base.version() < target.version() ? base : Document.EMPTY, target);
  }

  /** Returns the transfer between these versions, or null if the base is not kept. */
  public Transfer transferFrom(long baseVersion, Document target) {
    Document baseDocument = baseVersion == 0 ? Document.EMPTY : bases.get(baseVersion);
    return baseDocument == null ? null : cached(baseDocument, target);
  }

  private Transfer cached(Document base, Document target) {
    return cache.computeIfAbsent(new Key(base.version(), target.version()), key -> Transfer.between(base, target));
  }
}
