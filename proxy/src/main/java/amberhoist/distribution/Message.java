package amberhoist.distribution;

/** The messages between subscribers and distributors. Times and durations are in microseconds. */
public sealed interface Message {
  /** A message from a subscriber. */
  sealed interface Request extends Message {}

  /** A message from a distributor. */
  sealed interface Reply extends Message {}

  /**
   * Requests a lease, and admission where the distributor has no session of this subscriber yet.
   *
   * @param fleet name of the fleet; it must be the distributor's
   * @param incarnation a number that differs with each start of the subscriber
   * @param askedAt time of this request by the subscriber's clock, returned in the grant
   * @param held version of the document in force at the subscriber, or 0 to get a snapshot
   * @param prepared version that the subscriber has prepared and not seen concluded, or 0
   */
  record Renew(String fleet, String subscriber, long incarnation, long askedAt, long held, long prepared)
      implements Request {}

  /** Requests the next chunk of a transfer that an {@link Offer} described. */
  record Fetch(String subscriber, long incarnation, long version, long base, int offset) implements Request {}

  /** The subscriber has the document of this pending version, and uses no version until the change is concluded. */
  record Prepared(String subscriber, long incarnation, long version) implements Request {}

  /** The subscriber no longer uses a lease of this distributor: it stops, or has changed to another distributor. */
  record Leave(String subscriber, long incarnation) implements Request {}

  /** The request is invalid, such as one from another fleet; the sender must not repeat it. */
  record Rejected(String reason) implements Reply {}

  /** Nothing is granted now: the subscriber retries after this time, or at another distributor if {@code elsewhere}. */
  record Deferred(long after, boolean elsewhere) implements Reply {}

  /** The version in force, the latest version, and whether that is pending, as far as the distributor knows. */
  record Status(long inForce, long latest, boolean pending) implements Reply {}

  /**
   * Describes the transfer of a document that the subscriber is to fetch.
   *
   * @param base version that the transfer applies to, or 0 for a snapshot
   * @param from offset in the base of the first byte that is replaced
   * @param removed number of bytes of the base that are replaced
   * @param checksum CRC-32C of the resulting document
   * @param length length of the whole transfer in bytes
   * @param pending whether the version is pending; otherwise it is in force
   * @param first the first chunk, empty if it was sent before
   */
  record Offer(long version, long base, int from, int removed, long checksum, int length, boolean pending,
      byte[] first) implements Reply {}

  /** A chunk of a transfer, as requested. */
  record Chunk(long version, long base, int offset, byte[] bytes) implements Reply {}

  /** A lease on this version, valid for {@code length} from {@code askedAt}. */
  record Granted(long askedAt, long version, long length) implements Reply {}
}
