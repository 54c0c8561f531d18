package crankspar.lab;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.RoutingModel.Figures;
import crankspar.lab.RoutingModel.World;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The rule on cold databases, by the sum of what all poolers send: N + 2 x root of N + 2 of mean
 * work in any window.
 */
class ColdBudgetTest {
  private static Figures cold(int poolers, double loss, double burst) {
    World w = World.of(1, poolers, 20, 1500);
    var model =
        new RoutingModel(
                new World(w.seed(), poolers, 20, w.members(), w.perSecond(), loss, w.settings()))
            .run(3000)
            .measure();
    for (int round = 0; round < 2; round++) {
      for (int g = 0; g < 20; g++) {
        model.cold(
            g,
            1 + (g + round) % 5,
            2000); // told to each within 2 s: to some before, to some after the burst
      }
      model.run(1500).rate(burst * w.perSecond()).run(1500).rate(w.perSecond()).run(1500);
    }
    return model.figures();
  }

  /**
   * Each long read costs a dozen of mean work and one credit, and all of them waited for the one
   * furthest behind: 1.13 of what a cold one bears with thirty poolers and 1.52 with a hundred
   * under a burst of four times the load.
   */
  @ParameterizedTest
  @CsvSource({"3, 0.5, 4", "14, 0.5, 4", "30, 0.05, 1", "30, 0.5, 4", "100, 0.5, 4"})
  void theFleetsSumStaysWithinTheBudget(int poolers, double loss, double burst) {
    Figures f = cold(poolers, loss, burst);
    assertThat(f.coldShare()).as("of what one bears").isLessThan(1);
    assertThat(f.coldSent()).as("it is brought up all the same").isGreaterThan(500);
  }
}
