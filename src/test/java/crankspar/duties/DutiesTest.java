package crankspar.duties;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.duties.Duties.Effect;
import crankspar.duties.Duties.Living;
import crankspar.membership.Packet.Share;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Who probes what, and when. */
class DutiesTest {
  private static final double EVERY = Duties.Settings.DEFAULT.every();

  private static List<Living> living(int n) {
    return IntStream.range(0, n).mapToObj(i -> new Living(i, i % 3, 16)).toList();
  }

  private static Duties duties(int me, int n, Map<String, Integer> zones) {
    var d = new Duties(Duties.Settings.DEFAULT, me, me % 3, 16);
    d.databases(0, zones);
    d.living(living(n));
    return d;
  }

  private static Map<String, Integer> databases(int n) {
    var zones = new HashMap<String, Integer>();
    IntStream.range(0, n).forEach(i -> zones.put("db-" + i, i % 3));
    return zones;
  }

  private static List<String> probed(List<Effect> effects) {
    return effects.stream()
        .filter(e -> e instanceof Effect.Probe)
        .map(e -> ((Effect.Probe) e).id())
        .toList();
  }

  /** When each instance first probes, if nobody hears anybody. */
  private static double firstProbe(Duties d, String id) {
    for (double t = 0; t < 5000; t += 5) {
      if (probed(d.tick(t)).contains(id)) {
        return t;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  @Test
  void eachDatabaseHasOneFirstOfItsOwnZone() {
    Map<String, Integer> zones = databases(30);
    for (String id : zones.keySet()) {
      var first = new ArrayList<Integer>();
      for (int me = 0; me < 9; me++) {
        if (firstProbe(duties(me, 9, zones), id) <= EVERY + 5) {
          first.add(me);
        }
      }
      assertThat(first).hasSize(1).allMatch(m -> m % 3 == zones.get(id));
    }
  }

  @Test
  void theNextTakeOverInOrderWhenNothingIsHeard() {
    var times = new ArrayList<Double>();
    for (int me = 0; me < 9; me++) {
      times.add(firstProbe(duties(me, 9, Map.of("db", 1)), "db"));
    }
    times.sort(null);
    assertThat(times.get(1)).isBetween(EVERY + 100, 350.0);
    assertThat(times.get(8)).isLessThan(1000);
    assertThat(new java.util.HashSet<>(times)).hasSize(9);
  }

  @Test
  void dutiesAreSpreadByWeight() {
    int[] held = new int[3];
    for (int d = 0; d < 600; d++) {
      String id = "x" + d;
      for (int me = 0; me < 3; me++) {
        var one = new Duties(Duties.Settings.DEFAULT, me, 0, me == 0 ? 32 : 16);
        one.databases(0, Map.of(id, 0));
        one.living(List.of(new Living(0, 0, 32), new Living(1, 0, 16), new Living(2, 0, 16)));
        one.tick(0);
        one.tick(100);
        held[me] += probed(one.tick(EVERY + 1)).size();
      }
    }
    assertThat(held[0] + held[1] + held[2]).isEqualTo(600);
    assertThat(held[0]).isBetween(250, 350);
  }

  @Test
  void whoHearsAResultWaits() {
    Duties d = duties(0, 1, Map.of("db", 0));
    d.tick(0);
    for (double t = 100; t < 1000; t += 100) {
      d.heard(t, new Share(Duties.key("db"), 5, 1, (int) t / 100, 10, true, 1, 1000), 5);
      assertThat(probed(d.tick(t + 50))).isEmpty();
    }
    assertThat(d.holder("db")).isEqualTo(5);
    assertThat(d.last("db").probedAt()).isEqualTo(900 - 15);
    assertThat(probed(d.tick(1030))).isEmpty();
    assertThat(probed(d.tick(1040))).containsExactly("db");
    assertThat(d.epoch("db")).isEqualTo(2);
  }

  @Test
  void theHigherEpochWinsAndTheLoserYields() {
    Duties d = duties(0, 1, Map.of("db", 0));
    d.tick(0);
    d.tick(100);
    assertThat(probed(d.tick(EVERY))).containsExactly("db");
    d.probed(160, "db", true, 1, 500, EVERY);
    assertThat(d.holder("db")).isZero();
    d.heard(170, new Share(Duties.key("db"), 2, 9, 1, 1, true, 1, 510), 1);
    assertThat(d.holder("db")).isEqualTo(2);
    assertThat(d.epoch("db")).isEqualTo(9);
    d.tick(250);
    assertThat(probed(d.tick(168 + EVERY + 5))).as("rank 0, and it yields for a while").isEmpty();
  }

  @Test
  void theSameProbeComingRoundAgainIsNoNews() {
    Duties d = duties(0, 3, Map.of("db", 0));
    var share = new Share(Duties.key("db"), 2, 1, 7, 20, true, 1, 510);
    assertThat(d.heard(100, share, 10)).hasSize(1);
    d.shares(100, 10);
    assertThat(d.heard(130, new Share(Duties.key("db"), 2, 1, 7, 40, true, 1, 510), 1)).isEmpty();
    assertThat(d.last("db").probedAt()).isEqualTo(70);
  }

  @Test
  void aResultIsNeverFresherThanItWas() {
    Duties d = duties(0, 3, Map.of("db", 0));
    d.heard(100, new Share(Duties.key("db"), 2, 1, 7, 20, true, 1, 510), 10);
    Share on = d.shares(150, 10).get(0);
    assertThat(on.age()).isGreaterThanOrEqualTo(80);
    assertThat(on.position()).isEqualTo(510);
    assertThat(d.wanted(150, "db").position()).isEqualTo(510);
    assertThat(d.wanted(300, "db")).isNull();
  }

  @Test
  void whoCannotReachADatabaseIsLastInOrder() {
    Duties d = duties(0, 1, Map.of("db", 0));
    d.living(List.of(new Living(0, 0, 16), new Living(1, 2, 16)));
    d.tick(0);
    d.tick(100);
    assertThat(probed(d.tick(EVERY))).containsExactly("db");
    d.tick(280);
    assertThat(d.tick(420)).anyMatch(e -> e instanceof Effect.Heard h && !h.result().ok());
    assertThat(probed(d.tick(430))).isEmpty();
  }

  @Test
  void afterStandingStillItListensFirst() {
    Duties d = duties(0, 1, Map.of("db", 0));
    d.tick(0);
    d.tick(100);
    d.tick(EVERY);
    d.probed(155, "db", true, 1, 1, EVERY);
    assertThat(probed(d.tick(2500))).isEmpty();
    assertThat(probed(d.tick(2500 + 120))).containsExactly("db");
  }

  /**
   * The first datagram of one instance, given to another twice, and once more from another time.
   */
  @Test
  void aReplayedDatagramIsTakenOnce() {
    var seal = new crankspar.membership.Seal(List.of());
    var random = new java.util.SplittableRandom(1);
    Node from =
        Node.of(
            crankspar.membership.Swim.Settings.DEFAULT,
            Duties.Settings.DEFAULT,
            0,
            2,
            5,
            0,
            16,
            seal,
            7,
            100,
            random);
    Node to =
        Node.of(
            crankspar.membership.Swim.Settings.DEFAULT,
            Duties.Settings.DEFAULT,
            1,
            2,
            5,
            0,
            16,
            seal,
            7,
            100,
            random);
    byte[] bytes =
        from.tick(0, 1000).stream()
            .filter(e -> e instanceof Node.Effect.Send)
            .map(e -> ((Node.Effect.Send) e).bytes())
            .findFirst()
            .orElseThrow();
    assertThat(to.received(1, 1000, bytes, bytes.length)).isNotEmpty();
    assertThat(to.received(2, 1000, bytes, bytes.length)).isEmpty();
    assertThat(to.drops().replayed).isEqualTo(1);
    to.received(3, 1011, bytes, bytes.length);
    assertThat(to.drops().stale).isEqualTo(1);
  }
}
