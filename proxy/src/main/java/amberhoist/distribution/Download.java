package amberhoist.distribution;

import amberhoist.distribution.Message.Chunk;
import amberhoist.distribution.Message.Offer;
import java.util.Arrays;

/** A transfer received in part. It can be resumed from any distributor that offers the same transfer. */
final class Download {
  private final byte[] body;
  private Offer offer;
  private int receivedBytes;

  /** Starts a download of this offer, whose length must have been checked. */
  Download(Offer offer) {
    this.offer = offer;
    body = new byte[offer.length()];
    append(0, offer.first());
  }

  /** Whether this offer describes the same transfer. */
  boolean matches(Offer next) {
    return next.version() == offer.version() && next.base() == offer.base() && next.checksum() == offer.checksum()
        && next.length() == offer.length() && next.from() == offer.from() && next.removed() == offer.removed();
  }

  /** Takes over an offer of the same transfer; the version may have come into force since the first one. */
  void resume(Offer next) {
    offer = next;
  }

  /** Appends a chunk that follows the bytes received; ignores any other and returns false. */
  boolean append(Chunk chunk) {
    return chunk.version() == offer.version() && chunk.base() == offer.base() && append(chunk.offset(), chunk.bytes());
  }

  private boolean append(int offset, byte[] bytes) {
    if (offset != receivedBytes || bytes.length > body.length - receivedBytes) {
      return false;
    }
    System.arraycopy(bytes, 0, body, receivedBytes, bytes.length);
    receivedBytes += bytes.length;
    return true;
  }

  boolean isComplete() {
    return receivedBytes == body.length;
  }

  int receivedBytes() {
    return receivedBytes;
  }

  Offer offer() {
    return offer;
  }

  Transfer transfer() {
    return Transfer.of(offer, Arrays.copyOf(body, receivedBytes));
  }
}
