package crankspar.lab.rig;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.rig.ColdStartRule.Sent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The checker passes what a cold database bears, and finds one window or one long request more. */
class ColdStartRuleTest {
  /** At first N is 0.1 x 4 x 2 x 1500 / 40 = 30, with 13 for chance. */
  private static final ColdStartRule RULE = new ColdStartRule(0.1, 4, 1500, 15_000, 2, 40);

  private static List<Sent> every(double gapMs, int count, double workMs) {
    var sent = new ArrayList<Sent>();
    for (int i = 0; i < count; i++) {
      sent.add(new Sent(100_000 + i * gapMs, workMs, ""));
    }
    return sent;
  }

  @Test
  void theBudgetGrowsWithTheCapacity() {
    assertThat(RULE.budget(0)).isEqualTo(30);
    assertThat(RULE.budget(15_750)).isEqualTo(300);
  }

  @Test
  void oneBurstWithinAWindowBreaksTheRule() {
    assertThat(RULE.worst(100_000, every(10, 42, 40)).share()).isLessThan(1);
    assertThat(RULE.worst(100_000, every(10, 44, 40)).share()).isGreaterThan(1);
  }

  @Test
  void workCountsNotRequests() {
    assertThat(RULE.worst(100_000, every(10, 4, 480)).share()).isGreaterThan(1);
    assertThat(RULE.worst(100_000, every(10, 80, 20)).share()).isLessThan(1);
  }

  @Test
  void whatIsSpreadOverManyWindowsKeepsIt() {
    assertThat(RULE.worst(100_000, every(50, 200, 40)).share()).isLessThan(1);
  }

  @Test
  void aWarmDatabaseHasNoBudget() {
    assertThat(RULE.worst(100_000 - 15_000, every(1, 500, 40)).share()).isZero();
  }

  @Test
  void aSmallBudgetHasTheLargerAllowance() {
    var small = new ColdStartRule(0.05, 2, 500, 15_000, 2, 40);
    assertThat(small.budget(0)).isEqualTo(2.5);
    assertThat(small.worst(100_000, every(1, 10, 40)).share()).isLessThan(1);
    assertThat(small.worst(100_000, every(1, 11, 40)).share()).isGreaterThan(1);
  }
}
