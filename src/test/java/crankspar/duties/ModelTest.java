package crankspar.duties;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.DutiesModel;
import crankspar.lab.DutiesModel.Figures;
import crankspar.lab.DutiesModel.World;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * The hard cases of shared duties, each caused in the deterministic model with the daemon's own
 * classes.
 */
class ModelTest {
  private static final double PERIOD = 1000 / Duties.Settings.DEFAULT.every();

  private static DutiesModel settled(int instances, int databases, double loss) {
    return new DutiesModel(World.of(11, instances, databases, loss)).run(4000);
  }

  @Test
  void oneProbesForAll() {
    Figures f = settled(3, 12, 0).measure().run(10_000).agreed().figures();
    assertThat(f.probesByDatabase()).isLessThan(1.1 * PERIOD);
    assertThat(f.longestGap()).isLessThan(250);
    DutiesModel m = settled(3, 12, 0);
    for (int d = 0; d < 12; d++) {
      assertThat(m.holders("db-" + d)).isEqualTo(1);
    }
  }

  @Test
  void aDeathLeavesNoDatabaseUnprobed() {
    for (int who = 0; who < 3; who++) {
      Figures f = settled(3, 12, 0.2).measure().kill(who).run(6000).figures();
      assertThat(f.longestGap()).isLessThan(500);
    }
  }

  @Test
  void halfOfThePoolersDieWithinASecond() {
    DutiesModel m = settled(14, 40, 0.1).measure();
    for (int i = 0; i < 14; i += 2) {
      m.kill(i).run(130);
    }
    m.run(8000).agreed();
    assertThat(m.figures().longestGap()).isLessThan(500);
  }

  @Test
  void oneThatLeavesHandsOverWithoutAGap() {
    DutiesModel m = settled(3, 12, 0).measure().leave(0).run(300);
    assertThat(m.figures().longestGap()).isLessThan(300);
    m.run(3000).agreed();
  }

  @Test
  void anOwnerThatStoodStillDoesNoHarm() {
    DutiesModel m = settled(3, 12, 0).measure().pause(1, 2000).run(8000).agreed();
    assertThat(m.figures().longestGap()).isLessThan(500);
    m.probesAtMost(1.3 * PERIOD);
  }

  @Test
  void anOwnerThatIsCutOffFromADatabaseIsReplaced() {
    DutiesModel m = settled(3, 12, 0);
    for (int i = 0; i < 2; i++) {
      for (int d = 0; d < 12; d++) {
        m.unreachable(i, d, true);
      }
    }
    m.run(1500).measure().run(6000);
    assertThat(m.figures().longestGap()).isLessThan(500);
  }

  @Test
  void twoThatBothBelieveThatTheyOwn() {
    // Neither hears the other; everybody else hears both.
    DutiesModel m =
        settled(6, 20, 0).oneWay(0, 1, true).oneWay(1, 0, true).run(1000).measure().run(8000);
    m.probesAtMost(1.5 * PERIOD);
    m.oneWay(0, 1, false).oneWay(1, 0, false).run(6000).agreed();
  }

  @Test
  void ifMessagesStopEverybodyProbesAloneWithinASecond() {
    DutiesModel m = settled(3, 6, 0).loss(1).run(1000).measure().run(4000);
    assertThat(m.figures().probesByDatabase()).isGreaterThan(2.2 * PERIOD * 0.75);
    m.loss(0).run(9000).agreed().measure().run(4000).probesAtMost(1.2 * PERIOD);
  }

  @Test
  void viewsAgreeAfterACutHeals() {
    DutiesModel m = settled(9, 12, 0.1).cutZone(1, true).run(9000);
    m.cutZone(1, false).run(9000).agreed();
  }

  @Test
  void oneThatRestartsWithAnEmptyMemoryIsTakenBack() {
    DutiesModel m =
        settled(5, 12, 0).kill(2).run(200).restart(2).run(5000).agreed().measure().run(4000);
    m.probesAtMost(1.2 * PERIOD);
  }

  @Test
  void aCutThatComesAndGoesAndAllRestartedAtOnce() {
    DutiesModel m = settled(9, 12, 0.1).measure();
    for (int i = 0; i < 10; i++) {
      m.cutZone(1, i % 2 == 0).run(300 + 70 * i);
    }
    m.cutZone(1, false).run(2000);
    for (int i = 0; i < 9; i++) {
      m.kill(i);
    }
    m.run(100);
    for (int i = 0; i < 9; i++) {
      m.restart(i);
    }
    m.run(12_000).agreed();
    assertThat(m.figures().longestGap()).isLessThan(500);
  }

  /**
   * Loss of 60 %: more probes than one alone makes, never more than all alone make, and no database
   * forgotten.
   */
  @Test
  void heavyLossCostsProbesAndNothingElse() {
    DutiesModel m = settled(5, 12, 0.6).measure().run(8000);
    m.probesAtMost(5 * PERIOD);
    assertThat(m.figures().longestGap()).isLessThan(500);
  }

  @Test
  void forgedAndDamagedDatagramsChangeNothing() {
    DutiesModel m = settled(3, 12, 0);
    var random = new SplittableRandom(3);
    for (int i = 0; i < 2000; i++) {
      byte[] bytes = new byte[random.nextInt(300)];
      random.nextBytes(bytes);
      m.inject(bytes);
    }
    m.run(1000).agreed();
  }

  @Example
  void manyInstancesAndManyDatabases() {
    DutiesModel m =
        new DutiesModel(
                new World(
                    5,
                    120,
                    60,
                    3,
                    0.05,
                    1.4,
                    29,
                    0.01,
                    700,
                    false,
                    Duties.Settings.DEFAULT,
                    crankspar.membership.Swim.Settings.DEFAULT))
            .run(8000)
            .measure()
            .run(2000);
    m.probesAtMost(2 * PERIOD);
  }

  /**
   * Small worlds of chance: kills, restarts, pauses, cuts and loss; the model checks after every
   * step.
   */
  @Property(seed = "20261201", tries = 40, shrinking = ShrinkingMode.OFF)
  void smallWorldsKeepTheirPromises(@ForAll long seed, @ForAll @IntRange(min = 3, max = 9) int n) {
    var random = new SplittableRandom(seed);
    var m = new DutiesModel(World.of(seed, n, 10, random.nextDouble() * 0.2)).run(4000).measure();
    boolean[] up = new boolean[n];
    java.util.Arrays.fill(up, true);
    for (int step = 0; step < 12; step++) {
      int who = random.nextInt(n);
      switch (random.nextInt(4)) {
        case 0 -> {
          if (up[who] && java.util.stream.IntStream.range(0, n).filter(i -> up[i]).count() > 2) {
            m.kill(who);
            up[who] = false;
          }
        }
        case 1 -> {
          if (!up[who]) {
            m.restart(who);
            up[who] = true;
          }
        }
        case 2 -> {
          if (up[who] && java.util.stream.IntStream.range(0, n).filter(i -> up[i]).count() > 2) {
            m.pause(who, 200 + random.nextInt(1500));
            m.run(2000);
          }
        }
        default -> {
          int zone = random.nextInt(3);
          m.cutZone(zone, true).run(500 + random.nextInt(2000)).cutZone(zone, false);
        }
      }
      m.run(500 + random.nextInt(1500));
    }
    m.loss(0).run(15_000).agreed();
    m.probesAtMost(3 * PERIOD);
  }
}
