package amberhoist.signal;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a process is told of its signals. */
class SignalsTest {
  @Test
  void findsSighupInTheLowestBitOfTheIgnoredSignals() {
    assertTrue(Signals.listsHangupAsIgnored("SigBlk:\t0000000000000000\nSigIgn:\t0000000000000001\n"));
    assertTrue(Signals.listsHangupAsIgnored("SigIgn:\t000000000000100f\nSigCgt:\t0000000000000000\n"));
    assertFalse(Signals.listsHangupAsIgnored("SigBlk:\t0000000000000001\nSigIgn:\t0000000000001006\n"));
    assertFalse(Signals.listsHangupAsIgnored("Name:\tjava\n"));
  }
}
