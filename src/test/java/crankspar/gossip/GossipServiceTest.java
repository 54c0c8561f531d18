package crankspar.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Role;
import crankspar.TestSettings;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class GossipServiceTest {
  private static final double NOW = 1_767_225_600_000.4;

  private static Member member(String id, Health health) {
    return new Member(id, "burnaby", false, 1, health, 1, "", 0);
  }

  private static GossipService pooler(String... ids) {
    return pooler(14, 0, ids);
  }

  @Test
  void whatOneLearnedTheOthersHearOnce() {
    GossipService a = pooler("x", "y");
    GossipService b = pooler("x", "y");
    a.learned("x", Role.REPLICA, NOW - 40.5);
    byte[] message = a.next(NOW);
    var told = b.heard(NOW + 20, message);
    assertThat(told)
        .singleElement()
        .satisfies(
            t -> {
              assertThat(t.member()).isEqualTo("x");
              assertThat(t.role()).isEqualTo(Role.REPLICA);
              assertThat(t.position())
                  .isLessThanOrEqualTo(NOW - 40.5)
                  .isGreaterThan(NOW - 46); // never raised
            });
    assertThat(b.heard(NOW + 21, message)).as("doubled").isEmpty();
    assertThat(a.next(NOW + 50)).as("nothing is told twice").isNull();
  }

  @Test
  void whatAnotherHasToldIsNotToldAgain() {
    GossipService a = pooler("x");
    GossipService b = pooler("x");
    a.learned("x", Role.REPLICA, NOW);
    b.learned("x", Role.REPLICA, NOW + 10);
    b.heard(NOW + 10, a.next(NOW));
    assertThat(b.due()).as("newer by less than a step").isFalse();
    b.learned("x", Role.REPLICA, NOW + 40);
    assertThat(b.due()).isTrue();
  }

  @Test
  void aChangedRoleGoesFirstAndAPrimarysPlaceSeldom() {
    GossipService a = pooler("x");
    a.learned("x", Role.REPLICA, NOW);
    a.next(NOW);
    a.learned("x", Role.PRIMARY, NOW + 1);
    assertThat(a.due()).isTrue();
    a.next(NOW + 1);
    a.learned("x", Role.PRIMARY, NOW + 500);
    assertThat(a.due()).isFalse();
    a.learned("x", Role.PRIMARY, NOW + 1100);
    assertThat(a.due()).isTrue();
  }

  @Test
  void bytesAreEarnedByRequestsAndBounded() {
    GossipService a = pooler("x");
    int bytes = 0;
    for (int i = 0; i < 10_000; i++) {
      a.learned("x", Role.REPLICA, NOW + 100 * i);
      byte[] m = a.next(NOW + 100 * i);
      bytes += m == null ? 0 : m.length;
    }
    assertThat(bytes).isBetween(17, 1024); // what was saved at the start, and no more
    for (int i = 0; i < 1000; i++) {
      a.request();
    }
    a.learned("x", Role.REPLICA, NOW + 2e6);
    assertThat(a.next(NOW + 2e6)).isNotNull();
  }

  @Test
  void aMessageHoldsNoMoreThanThePlatformLetsThrough() {
    String[] ids = new String[100];
    Arrays.setAll(ids, i -> "s-" + i);
    GossipService a = pooler(3, 0, ids);
    for (String id : ids) {
      a.learned(id, Role.REPLICA, NOW);
    }
    assertThat(a.next(NOW).length).isLessThanOrEqualTo(256);
    assertThat(a.due()).as("the rest waits its turn").isTrue();
  }

  private static GossipService pooler(int me, String... ids) {
    return pooler(3, me, ids);
  }

  private static GossipService pooler(int poolers, int me, String... ids) {
    var h = new GossipService(TestSettings.platform(poolers, me));
    h.members(ListKind.FULL, Arrays.stream(ids).map(id -> member(id, Health.RUNNING)).toList());
    return h;
  }

  private static int inFlight(GossipService at, double now, byte[] message) {
    return at.heard(now, message).stream().mapToInt(t -> t.inFlight()).max().orElse(-1);
  }

  @Test
  void requestsInFlightAddUpOverAllPeersAndAreTakenBack() {
    GossipService a = pooler(1, "x");
    GossipService b = pooler(2, "x");
    GossipService c = pooler(0, "x");
    a.inFlight("x", 2);
    b.inFlight("x", 1);
    assertThat(inFlight(c, NOW, a.next(NOW))).isEqualTo(2);
    byte[] ofB = b.next(NOW);
    assertThat(inFlight(c, NOW, ofB)).isEqualTo(3);
    assertThat(inFlight(c, NOW, ofB)).as("doubled").isEqualTo(-1);
    a.inFlight("x", -1);
    byte[] later = a.next(NOW + 45);
    a.inFlight("x", -1);
    byte[] last = a.next(NOW + 90);
    assertThat(inFlight(c, NOW + 91, last)).isEqualTo(1);
    assertThat(inFlight(c, NOW + 92, later)).as("reordered").isEqualTo(-1);
    assertThat(a.next(NOW + 135)).as("nothing more to say").isNull();
  }

  @Test
  void aPeerThatFellSilentHasNothingInFlight() {
    GossipService a = pooler(1, "x");
    GossipService b = pooler(2, "x");
    a.inFlight("x", 5);
    b.heard(NOW, a.next(NOW));
    assertThat(b.look(NOW + 100)).isEmpty();
    assertThat(b.look(NOW + 1000))
        .singleElement()
        .satisfies(
            t -> {
              assertThat(t.inFlight()).isZero();
              assertThat(t.heardAt()).as("no sign of life").isEqualTo(Double.NEGATIVE_INFINITY);
            });
  }

  /** Guards against bounds for all requests in flight where only the own are seen. */
  @Test
  void aPoolerThatHearsTooFewPeersKnowsNoLoadsUntilItHearsThemAgain() {
    GossipService a = pooler(1, "x");
    GossipService b = pooler(2, "x");
    a.inFlight("x", 5);
    assertThat(inFlight(b, NOW, a.next(NOW))).isEqualTo(5);
    assertThat(b.look(NOW + 4900)).noneMatch(t -> t.inFlight() < 0);
    assertThat(b.look(NOW + 5100))
        .singleElement()
        .satisfies(t -> assertThat(t.inFlight()).isEqualTo(-1));
    a.inFlight("x", -4);
    assertThat(inFlight(b, NOW + 6000, a.next(NOW + 6000))).isEqualTo(1);
    GossipService c = pooler(14, 2, "x");
    c.heard(NOW, a.next(NOW + 6045));
    assertThat(inFlight(c, NOW, a.next(NOW))).as("one of thirteen peers").isEqualTo(-1);
  }

  @Test
  void aHundredTellNoLoadsAndWhatMakesAGroupFresher() {
    GossipService a = pooler(100, 0, "x", "y");
    GossipService b = pooler(100, 1, "x", "y");
    a.inFlight("x", 3);
    assertThat(a.due()).as("load is too dear to tell").isFalse();
    a.learned("x", Role.REPLICA, NOW);
    byte[] first = a.next(NOW);
    assertThat(first).hasSize(GossipMessage.HEAD + GossipMessage.FACT);
    b.heard(NOW + 10, first);
    b.learned("y", Role.REPLICA, NOW + 60);
    assertThat(b.due()).as("the group's other replica is known to be fresh").isFalse();
    b.learned("y", Role.REPLICA, NOW + 120);
    assertThat(b.due()).isTrue();
  }

  @Test
  void whatTheListSaysOfARoleIsNoNews() {
    GossipService a = pooler(100, 0, "x");
    a.learned("x", Role.REPLICA, NOW);
    a.next(NOW);
    a.learned("x", Role.REPLICA, NOW + 5);
    assertThat(a.due()).isFalse();
    a.learned("x", Role.PRIMARY, NOW + 6);
    assertThat(a.due()).as("a hand-over").isTrue();
  }

  @Test
  void aSenderThatIsNoPoolerOrOneselfCountsForNothing() {
    byte[] stranger =
        new GossipMessage(
                200,
                (long) NOW,
                List.of(),
                List.of(new GossipMessage.Load(GossipMessage.key("x"), 9)))
            .encode();
    byte[] self =
        new GossipMessage(
                2,
                (long) NOW,
                List.of(),
                List.of(new GossipMessage.Load(GossipMessage.key("x"), 9)))
            .encode();
    GossipService b = pooler(2, "x");
    assertThat(b.heard(NOW, stranger)).isEmpty();
    assertThat(b.heard(NOW, self)).isEmpty();
  }

  @Test
  void aMemberOfAnotherListIsDropped() {
    GossipService a = pooler("x", "y");
    GossipService b = pooler("y");
    a.learned("x", Role.PRIMARY, NOW);
    assertThat(b.heard(NOW, a.next(NOW))).isEmpty();
    assertThat(b.counts()).containsEntry("hearsay_dropped_unlisted", 1L);
    a.members(ListKind.CHANGES, List.of(member("x", Health.GONE)));
    a.learned("x", Role.PRIMARY, NOW + 5000);
    assertThat(a.due()).as("one that has left").isFalse();
  }

  @Test
  void tornForgedLateAndUnknownMessagesAreDroppedAndCounted() throws Exception {
    GossipService a = pooler("x");
    GossipService b = pooler("x");
    a.learned("x", Role.REPLICA, NOW);
    byte[] good = a.next(NOW);
    assertThat(b.heard(NOW, Arrays.copyOf(good, good.length - 1))).isEmpty();
    assertThat(b.heard(NOW, new byte[0])).isEmpty();
    byte[] version = good.clone();
    version[0] = (byte) (version[0] + 2);
    assertThat(b.heard(NOW, version)).isEmpty();
    byte[] raised = good.clone();
    raised[7] ^= 1;
    assertThat(b.heard(NOW, raised)).isEmpty();
    assertThat(b.heard(NOW + 10_000, good)).isEmpty();
    assertThat(b.heard(NOW - 10_000, good)).isEmpty();
    assertThat(b.heard(NOW + 65_536, good)).as("its time's two bytes are those of now").isEmpty();
    assertThat(b.counts())
        .containsEntry("hearsay_dropped_length", 1L)
        .containsEntry("hearsay_dropped_version", 1L)
        .containsEntry("hearsay_dropped_checksum", 3L)
        .containsEntry("hearsay_dropped_late", 1L)
        .containsEntry("hearsay_dropped_ahead", 1L);
    assertThat(b.heard(NOW, good)).hasSize(1);
    assertThatThrownBy(() -> GossipMessage.decode(new byte[300], NOW))
        .isInstanceOf(GossipMessage.Malformed.class);
  }

  @Property(tries = 500)
  void anyBytesAreHarmless(@ForAll @Size(max = 300) byte[] bytes) {
    assertThat(pooler("x").heard(NOW, bytes)).isEmpty();
  }

  @Property(tries = 300)
  void noPositionIsEverRaised(
      @ForAll @IntRange(min = 0, max = 60_000) int behind,
      @ForAll @IntRange(min = 0, max = 999) int fraction) {
    double position = NOW - behind - fraction / 1000.0;
    GossipService a = pooler("x");
    a.learned("x", Role.REPLICA, position);
    pooler("x")
        .heard(NOW, a.next(NOW))
        .forEach(t -> assertThat(t.position()).isLessThanOrEqualTo(position));
  }
}
