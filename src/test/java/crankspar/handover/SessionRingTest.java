package crankspar.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SessionRingTest {
  @TempDir Path dir;

  @Test
  void aSuccessorKnowsWhatItsPredecessorsSessionsHaveWritten() throws Exception {
    var old = SessionRing.open(dir.resolve("ring"));
    assertThat(java.nio.file.Files.size(dir.resolve("ring"))).isEqualTo(SessionRing.BYTES);
    old.writeCommitted("s1", 1000.2);
    old.writeCommitted("s1", 900);
    var next = SessionRing.open(dir.resolve("ring"));
    assertThat(next.requiredPosition("s1")).isEqualTo(1001);
    assertThat(next.requiredPosition("s2")).isNaN();
    old.writeCommitted("s2", 1100); // while both serve
    next.writeCommitted("s3", 1200);
    assertThat(next.requiredPosition("s2")).isEqualTo(1100);
    assertThat(old.requiredPosition("s3")).isEqualTo(1200);
    old.writeCommitted("s4", Double.NaN);
    assertThat(next.requiredPosition("s4")).isNaN();
  }

  /** What the ring has no room for is not forgotten: every session waits for the newest of it. */
  @Test
  void whatIsOverwrittenCountsForAll() throws Exception {
    var old = SessionRing.open(dir.resolve("ring"));
    var late = SessionRing.open(dir.resolve("ring"));
    for (int i = 0; i < SessionRing.SLOTS + 3; i++) {
      old.writeCommitted("s" + i, 1000 + i);
    }
    for (SessionRing r : List.of(late, SessionRing.open(dir.resolve("ring")))) {
      assertThat(r.requiredPosition("s1")).isEqualTo(1002);
      assertThat(r.requiredPosition("never seen")).isEqualTo(1002);
      assertThat(r.requiredPosition("s4000")).isEqualTo(5000);
    }
  }

  /**
   * Guards against a stale read: the first write behind one whose writer was killed on the way is
   * known at once.
   */
  @Test
  void aWriterThatWasKilledOnTheWayHoldsUpNothing() {
    ByteBuffer shared = ByteBuffer.allocateDirect(SessionRing.BYTES).order(ByteOrder.nativeOrder());
    var killed = new SessionRing(shared);
    killed.writeCommitted("a", 10);
    shared.putLong(0, 2); // claimed, and never written
    var next = new SessionRing(shared);
    var beside = new SessionRing(shared);
    next.writeCommitted("b", 20);
    assertThat(beside.requiredPosition("b")).isEqualTo(20);
    assertThat(next.requiredPosition("b")).isEqualTo(20);
    assertThat(next.requiredPosition("a")).isEqualTo(10);
  }

  /** However long it stays so. */
  @Test
  void anEntryThatIsNeverWrittenIsPassedOver() {
    ByteBuffer shared = ByteBuffer.allocateDirect(SessionRing.BYTES).order(ByteOrder.nativeOrder());
    var ring = new SessionRing(shared);
    ring.writeCommitted("a", 10);
    shared.putLong(0, 2); // claimed, and never written
    for (int i = 0; i < SessionRing.SLOTS / 2; i++) {
      ring.writeCommitted("b" + i, 20 + i);
    }
    assertThat(new SessionRing(shared).requiredPosition("b7")).isEqualTo(27);
  }

  /** Never less than what was written, however two processes take turns. */
  @Property(tries = 200, seed = "20261202")
  void noMarkIsLost(@ForAll @Size(max = 200) List<@IntRange(max = 39) Integer> writes) {
    ByteBuffer shared = ByteBuffer.allocateDirect(SessionRing.BYTES);
    var rings = List.of(new SessionRing(shared.duplicate()), new SessionRing(shared.duplicate()));
    Map<String, Integer> all = new HashMap<>();
    for (int i = 0; i < writes.size(); i++) {
      String session = "s" + writes.get(i) / 2;
      rings.get(writes.get(i) % 2).writeCommitted(session, 100 + i);
      all.put(session, 100 + i);
      assertThat(rings.get(i % 2).requiredPosition(session))
          .isGreaterThanOrEqualTo(all.get(session));
    }
  }
}
