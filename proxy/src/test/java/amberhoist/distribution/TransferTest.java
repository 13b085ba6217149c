package amberhoist.distribution;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.zip.DataFormatException;
import org.junit.jupiter.api.Test;

class TransferTest {
  @Test
  void transfersBetweenRandomDocuments() throws DataFormatException {
    Random random = new Random(4);
    byte[] before = new byte[0];
    for (int version = 1; version < 400; version++) {
      byte[] after = edited(before, random);
      Document base = new Document(version, before);
      Document target = new Document(version + 1, after);
      assertArrayEquals(after, Transfer.between(base, target).apply(base).bytes());
      assertArrayEquals(after, Transfer.between(Document.EMPTY, target).apply(base).bytes());
      before = after;
    }
  }

  /** Inserts, removes or repeats a few bytes at a random place, so that common prefixes and suffixes overlap. */
  private static byte[] edited(byte[] bytes, Random random) {
    int from = bytes.length == 0 ? 0 : random.nextInt(bytes.length);
    int to = Math.min(bytes.length, from + random.nextInt(6));
    byte[] inserted = new byte[random.nextInt(8)];
    Arrays.fill(inserted, (byte) ('a' + random.nextInt(2)));
    byte[] result = Arrays.copyOf(bytes, bytes.length - (to - from) + inserted.length);
    System.arraycopy(inserted, 0, result, from, inserted.length);
    System.arraycopy(bytes, to, result, from + inserted.length, bytes.length - to);
    return result;
  }

  @Test
  void smallChangeOfLargeDocumentIsSmallTransfer() {
    String large = "line of a policy\n".repeat(12_000);
    Document base = Document.of(1, large);
    Document target = Document.of(2, large.substring(0, 90_000) + "changed" + large.substring(90_000));
    assertTrue(target.bytes().length > 200_000);
    assertTrue(Transfer.between(base, target).body().length < 64);
  }

  @Test
  void rejectsInvalidTransfers() {
    Document base = Document.of(1, "abcdef");
    Transfer valid = Transfer.between(base, Document.of(2, "abXdef"));
    List<Transfer> invalid = List.of(
        new Transfer(2, 3, valid.from(), valid.removed(), valid.checksum(), valid.body()),
        new Transfer(2, 1, -1, valid.removed(), valid.checksum(), valid.body()),
        new Transfer(2, 1, 6, 1, valid.checksum(), valid.body()),
        new Transfer(2, 1, Integer.MAX_VALUE, Integer.MAX_VALUE, valid.checksum(), valid.body()),
        new Transfer(2, 1, 0, 0, valid.checksum(), Arrays.copyOf(valid.body(), valid.body().length - 5)),
        new Transfer(2, 1, 0, 0, valid.checksum(), new byte[] {1, 2, 3}));
    for (Transfer transfer : invalid) {
      assertThrows(DataFormatException.class, () -> transfer.apply(base), transfer.toString());
    }
  }

  @Test
  void rejectsBodyThatInflatesAboveTheLimit() {
    Document bomb = new Document(1, new byte[Transfer.MAX_DOCUMENT_BYTES + 1]);
    Transfer transfer = Transfer.between(Document.EMPTY, bomb);
    assertTrue(transfer.body().length < 10_000);
    assertThrows(DataFormatException.class, () -> transfer.apply(Document.EMPTY));
  }

  @Test
  void ordersDistributorsByRegionAndRendezvousHashing() {
    List<DistributorOrder.Location> locations = List.of(new DistributorOrder.Location("a1", "a"),
        new DistributorOrder.Location("a2", "a"), new DistributorOrder.Location("b1", "b"),
        new DistributorOrder.Location("c1", "c"), new DistributorOrder.Location("c2", "c"));
    int first = 0;
    int movedFromOthers = 0;
    for (int i = 0; i < 1000; i++) {
      List<String> order = DistributorOrder.of("p" + i, List.of("a", "c", "b"), locations);
      assertEquals(List.of("a", "a", "c", "c", "b"), order.stream().map(name -> name.substring(0, 1)).toList());
      first += order.get(0).equals("a1") ? 1 : 0;
      List<String> without = DistributorOrder.of("p" + i, List.of("a", "c", "b"), locations.subList(1, 5));
      movedFromOthers += order.get(0).equals("a2") && !without.get(0).equals("a2") ? 1 : 0;
    }
    assertTrue(first > 430 && first < 570, first + " of 1000 prefer the first of two distributors");
    assertEquals(0, movedFromOthers);
  }
}
