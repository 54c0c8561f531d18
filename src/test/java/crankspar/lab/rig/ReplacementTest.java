package crankspar.lab.rig;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.LabSettings.ColdStart;
import crankspar.lab.rig.ReplacementRig.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Databases are replaced under a burst before real poolers; {@link ReplacementRig} runs more. */
class ReplacementTest {
  /** Guards against more than its budget being sent to a cold database by all poolers together. */
  @ParameterizedTest
  @CsvSource({
    "108, 30, 3, true, 4, 0.15, 1.67, 1950, 5157, 0",
    "109, 30, 5, true, 8, 0.10, 4, 500, 15000, 0.3",
    "110, 5, 5, false, 8, 0.05, 1.5, 1000, 30000, 0"
  })
  void aReplacedDatabaseIsSentNoMoreThanItsBudgetByTheWholeFleet(
      long seed,
      int poolers,
      int members,
      boolean allReplicas,
      double burst,
      double coldFrom,
      double multiple,
      double windowMs,
      double rampMs,
      double restarted)
      throws Exception {
    var start = new ColdStart(coldFrom, multiple, windowMs, rampMs);
    var plan =
        new ReplacementPlan(seed, poolers, members, allReplicas, burst, 0.3, start, restarted);
    try (var rig = new ReplacementRig(plan)) {
      Outcome outcome = rig.play();
      assertThat(outcome.worst().share()).as("of the budget: " + outcome).isLessThanOrEqualTo(1);
      assertThat(outcome.sentCold()).as("brought up all the same").isGreaterThan(10);
    }
  }
}
