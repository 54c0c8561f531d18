package crankspar.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.gossip.DrainNotices.Effect;
import crankspar.gossip.DrainNotices.Event;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Poolers of which some have a watch and some have none, with a script between them. */
class DrainNoticesTest {
  private static final Set<String> ALL = Set.of("a", "b", "c");

  private double now = 1_000_000;

  /** One pooler, with what it decided. */
  private final class One {
    final DrainNotices notices;
    final List<byte[]> told = new ArrayList<>();
    Set<String> drained = Set.of();

    One(int me) {
      notices = new DrainNotices(me);
    }

    One step(Event e) {
      for (Effect f : notices.step(now, e)) {
        if (f instanceof Effect.Tell t) {
          told.add(t.message());
        } else if (f instanceof Effect.Drained d) {
          drained = d.ids();
        }
      }
      return this;
    }

    One lists(String... draining) {
      return step(new Event.Listed(ALL, Set.of(draining)));
    }

    One word() {
      return step(new Event.Word());
    }

    One hears(byte[] message) {
      return step(new Event.Told(message));
    }

    One look() {
      return step(new Event.Look());
    }

    long count(String what) {
      return notices.counts().getOrDefault("drain_notices_" + what, 0L);
    }
  }

  private static byte[] notice(int from, double at, String... ids) {
    return new DrainNotice(from, (long) at, List.of(ids).stream().map(GossipMessage::key).toList())
        .encode();
  }

  @Test
  void whoHasAWatchTellsAndWhoHasNoneActsOnIt() {
    var watches = new One(1).lists().word().lists("b").word();
    now += DrainNotices.SPREAD;
    watches.look();
    assertThat(watches.told).hasSize(1);
    assertThat(watches.told.get(0)).hasSize(GossipMessage.HEAD + DrainNotice.KEY);
    var deaf = new One(2).lists().hears(watches.told.get(0));
    assertThat(deaf.drained).containsExactly("b");
    now += DrainNotices.HELD + 10;
    assertThat(deaf.look().drained).as("not said again").isEmpty();
  }

  @Test
  void theOwnWatchIsBelievedBeforeAnyPeer() {
    var one = new One(1).lists().word().hears(notice(2, now, "b"));
    assertThat(one.drained).isEmpty();
    now += DrainNotices.STANDS + 1;
    assertThat(one.hears(notice(2, now, "b")).drained)
        .as("its watch is silent")
        .containsExactly("b");
    assertThat(one.lists().word().drained).as("it has spoken again").isEmpty();
  }

  @Test
  void withoutAWatchNothingIsTold() {
    var one = new One(1).lists("b");
    now += 10_000;
    assertThat(one.look().told).isEmpty();
    assertThat(one.word().told).hasSize(1);
  }

  /** A hundred poolers know the same: few of them tell it, and again for those that start. */
  @Test
  void whatOneHasToldTheOthersNeedNot() {
    var all = new ArrayList<One>();
    for (int i = 0; i < 100; i++) {
      all.add(new One(i));
    }
    all.forEach(o -> o.lists().word().lists("b").word());
    var way = new TreeMap<Double, byte[]>();
    int told = 0;
    for (double end = now + 10_000; now < end; now++) {
      boolean beat = now % 2000 == 0;
      for (One o : all) {
        if (beat) {
          o.word();
        }
        if (now >= o.notices.next(now)) {
          o.look();
        }
        for (byte[] m : o.told) {
          told++;
          way.put(now + 15 + told * 1e-6, m);
        }
        o.told.clear();
      }
      while (!way.isEmpty() && way.firstKey() <= now) {
        byte[] m = way.pollFirstEntry().getValue();
        all.forEach(o -> o.hears(m));
      }
    }
    assertThat(told).isBetween(9, 80);
  }

  @Test
  void onlyWhatTheOwnListNamesCountsAndOnlyInTime() {
    var one = new One(1).lists();
    one.hears(notice(2, now, "x"))
        .hears(notice(2, now - 4000, "b"))
        .hears(notice(2, now + 500, "b"))
        .hears(notice(1, now, "b"));
    byte[] torn = notice(2, now, "b");
    torn[torn.length - 1]++;
    one.hears(torn).hears(new byte[] {DrainNotice.VERSION}).hears(new byte[0]);
    assertThat(one.drained).isEmpty();
    assertThat(one.count("dropped_late")).isEqualTo(1);
    assertThat(one.count("dropped_ahead")).isEqualTo(1);
    assertThat(one.count("dropped_own")).isEqualTo(1);
    assertThat(one.count("dropped_checksum")).isEqualTo(1);
    assertThat(one.count("dropped_length")).isEqualTo(2);
    assertThat(one.hears(notice(2, now, "a", "b")).drained).containsExactlyInAnyOrder("a", "b");
  }

  /**
   * Whatever comes: no crash, messages within the platform's bound, and nothing drains by peers
   * while the own watch stands.
   */
  @Property(seed = "20261202", tries = 200)
  void anyStoryKeepsToItsBounds(@ForAll long seed) {
    var random = new Random(seed);
    var one = new One(0);
    double word = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < 300; i++) {
      now += random.nextInt(900);
      switch (random.nextInt(5)) {
        case 0 -> one.lists(random.nextBoolean() ? new String[] {"b"} : new String[0]);
        case 1 -> {
          one.word();
          word = now;
        }
        case 2 ->
            one.hears(
                notice(
                    random.nextInt(3),
                    now - random.nextInt(5000) + 200,
                    "abcx".substring(random.nextInt(4)).split("")));
        case 3 -> {
          var bytes = new byte[random.nextInt(300)];
          random.nextBytes(bytes);
          one.hears(bytes);
        }
        default -> one.look();
      }
      if (now - word <= DrainNotices.STANDS) {
        assertThat(one.drained).isEmpty();
      }
      assertThat(ALL).containsAll(one.drained);
      assertThat(one.told).allMatch(m -> m.length <= GossipMessage.MOST);
    }
  }
}
