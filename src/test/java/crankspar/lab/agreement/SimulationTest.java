package crankspar.lab.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.agreement.Simulation.Outcome;
import crankspar.lab.agreement.Simulation.Play;
import crankspar.lab.agreement.Simulation.Spoil;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class SimulationTest {
  /** MicroRaft logs each election and each fault: thousands of lines. */
  private static final Logger QUIET = Logger.getLogger("io.microraft");

  @BeforeAll
  static void quiet() {
    QUIET.setLevel(Level.OFF);
  }

  private static Outcome play(long seed, int members, Spoil spoil) {
    return Simulation.play(new Play(seed, members, 4, 30_000, spoil));
  }

  @Test
  void membersUnderFaultsAnswerAsOneWould() {
    long kills = 0;
    for (long seed = 1; seed <= 60; seed++) {
      Outcome o = play(seed, seed % 4 == 0 ? 5 : 3, Spoil.NOTHING);
      assertThat(o.broken()).as("seed " + seed + ": " + o).isNull();
      assertThat(o.answered()).as("seed " + seed + ": " + o).isPositive();
      kills += o.kills();
    }
    assertThat(kills).isGreaterThan(100);
  }

  @Test
  void oneSeedIsOneCourseOfEvents() {
    assertThat(play(7, 3, Spoil.NOTHING)).isEqualTo(play(7, 3, Spoil.NOTHING));
  }

  /**
   * Each guard taken away is found within some seeds: disks that forget, repeats without numbers,
   * reads of whoever is asked, tails.
   */
  @Test
  void aGuardThatIsTakenAwayIsFound() {
    for (Spoil spoil : new Spoil[] {Spoil.DISK, Spoil.REPEATS, Spoil.STALE_READS, Spoil.TAILS}) {
      boolean found = false;
      for (long seed = 1; seed <= 100 && !found; seed++) {
        found = play(seed, 3, spoil).broken() != null;
      }
      assertThat(found).as(spoil.name()).isTrue();
    }
  }
}
