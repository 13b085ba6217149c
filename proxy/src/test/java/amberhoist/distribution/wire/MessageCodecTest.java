package amberhoist.distribution.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberhoist.distribution.Message;
import amberhoist.distribution.Message.Chunk;
import amberhoist.distribution.Message.Offer;
import amberhoist.distribution.wire.MessageCodec.MalformedMessageException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
  private static final List<Message> MESSAGES = List.of(new Message.Renew("fleet", "p1", 3, 123_456_789L, 7, 8),
      new Message.Fetch("p1", 3, 8, 7, 4096), new Message.Prepared("p1", 3, 8), new Message.Leave("p1", 3),
      new Message.Rejected("not of this fleet"), new Message.Deferred(1_000_000, true),
      new Message.Status(7, 8, true), new Message.Granted(123_456_789L, 7, 1_500_000));

  private final MessageCodec codec = new MessageCodec();

  @Test
  void messagesRoundTrip() throws MalformedMessageException {
    for (Message message : MESSAGES) {
      assertEquals(message, codec.decode(codec.encode(message)));
    }
    Offer offer = new Offer(8, 7, 1, 2, 3, 4, true, new byte[] {1, 2, 3, 4});
    assertArrayEquals(offer.first(), ((Offer) codec.decode(codec.encode(offer))).first());
    Chunk chunk = new Chunk(8, 7, 5, new byte[4096]);
    assertEquals(4096, ((Chunk) codec.decode(codec.encode(chunk))).bytes().length);
    assertTrue(codec.encode(chunk).length < MessageCodec.MAX_MESSAGE_BYTES);
  }

  /** Any bytes are decoded as a message or rejected as malformed; nothing else is thrown. */
  @Test
  void corruptMessagesAreRejectedAsMalformed() {
    Random random = new Random(2);
    int rejected = 0;
    for (int run = 0; run < 20_000; run++) {
      byte[] bytes = codec.encode(MESSAGES.get(run % MESSAGES.size()));
      for (int i = random.nextInt(4); i >= 0; i--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      bytes = Arrays.copyOf(bytes, random.nextInt(3) == 0 ? random.nextInt(bytes.length) : bytes.length);
      try {
        codec.decode(bytes);
      } catch (MalformedMessageException malformed) {
        rejected++;
      }
    }
    assertTrue(rejected > 10_000, rejected + " rejected");
  }

  @Test
  void rejectsExcessiveLengthsWithoutAllocating() {
    byte[] forged = codec.encode(new Chunk(8, 7, 5, new byte[8]));
    int head = forged.length - 1;
    while (forged[head] != 0x48) { // head of a byte string of eight bytes
      head--;
    }
    System.arraycopy(new byte[] {0x5a, 0x7f, -1, -1, -1}, 0, forged, head, 5); // head of one with 2^31 - 1 bytes
    assertThrows(MalformedMessageException.class, () -> codec.decode(forged));
    assertThrows(MalformedMessageException.class, () -> codec.decode(new byte[MessageCodec.MAX_MESSAGE_BYTES + 1]));
    assertThrows(MalformedMessageException.class, () -> codec.decode(new byte[0]));
    byte[] deep = new byte[1000];
    Arrays.fill(deep, (byte) 0x81);
    assertThrows(MalformedMessageException.class, () -> codec.decode(deep));
  }
}
