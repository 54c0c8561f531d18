package crankspar.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.Router;
import crankspar.lab.RoutingModel.Figures;
import crankspar.lab.RoutingModel.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What is harmless in one pooler and harmful in a hundred, counted over all of them. Each world
 * breaks no rule while it runs.
 */
class RoutingModelTest {
  private static RoutingModel fleet(int poolers, double perSecond) {
    return new RoutingModel(World.of(3, poolers, 20, perSecond)).run(4000).measure();
  }

  /**
   * Four full messages at each start, earned by nobody, cost 0.04 of the worth of these seconds
   * with a hundred poolers.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 14, 100})
  void aFleetThatRestartsTellsNoMoreThanItEarns(int poolers) {
    assertThat(fleet(poolers, 540).restart(1, 500).run(8000).figures().telling()).isLessThan(0.013);
  }

  /**
   * Each of a hundred hears a replica once in 20 s: eight of ten scoreboards went to primaries, the
   * most burdened of all.
   */
  @ParameterizedTest
  @CsvSource({"14, 0.1", "100, 0.35"})
  void mostBoundedReadsFindAReplicaThatIsKnownToBeFresh(int poolers, double most) {
    assertThat(fleet(poolers, 540).run(6000).figures().toPrimary()).isLessThan(most);
  }

  /**
   * Remnants of load, told seconds late, had members passed over: 0.87 of the worth was served
   * where 0.91 can be.
   */
  @Test
  void underLoadAHundredServeAlmostAsMuchAsFourteen() {
    Figures few = fleet(14, 1500).run(6000).figures();
    Figures many = fleet(100, 1500).run(6000).figures();
    assertThat(many.served()).isGreaterThan(few.served() - 0.04);
  }

  /**
   * Five hundred hear nothing of each other (a sender's number is a byte), so that their reads go
   * to primaries.
   */
  @ParameterizedTest
  @CsvSource({"3, 150", "14, 150", "100, 150", "500, 30"})
  void fractionsOfAColdBudgetAddUpToNeitherTooMuchNorNothing(int poolers, int least) {
    RoutingModel model = fleet(poolers, 1500);
    for (int g = 0; g < 20; g++) {
      model.cold(g, 1 + g % 5, 2000);
    }
    Figures f = model.run(10_000).figures();
    assertThat(f.coldPeak()).as("times what a cold one can do; the rule is 4").isLessThan(4);
    assertThat(f.coldSent()).isGreaterThan(least);
  }

  /**
   * Guards against poolers that go on with bounds for all requests in flight and see their own
   * alone.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void aFleetWhoseMessagesAreAllLostSendsColdDatabasesLess(long seed) {
    World world = World.of(seed, 14, 20, 3500);
    RoutingModel model = new RoutingModel(world).run(4000).mute(true).run(6000).measure();
    for (int g = 0; g < 20; g++) {
      model.cold(g, 1, 2000);
    }
    Figures f = model.run(8000).figures();
    assertThat(f.coldPeak()).as("3.9 without the module's part of it").isLessThan(3);
    assertThat(f.coldSent()).isLessThan(700);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 100})
  void aZoneCutOffBreaksNoRule(int poolers) {
    Figures f =
        fleet(poolers, 540).cutZone(1, true).run(5000).cutZone(1, false).run(3000).figures();
    assertThat(f.served()).isGreaterThan(0.6);
  }

  @Test
  void theSameSeedPlaysTheSame() {
    assertThat(fleet(14, 540).run(2000).figures()).isEqualTo(fleet(14, 540).run(2000).figures());
  }

  private static Router silent() {
    return (Router)
        java.lang.reflect.Proxy.newProxyInstance(
            Router.class.getClassLoader(),
            new Class<?>[] {Router.class},
            (proxy, method, args) -> null);
  }

  /** The model's own check: a module that answers nothing is found out. */
  @Test
  void aModuleThatBreaksARuleIsFoundOut() {
    World world = World.of(1, 3, 2, 200);
    RoutingModel model = new RoutingModel(world, (settings, actions) -> silent());
    assertThatThrownBy(() -> model.run(10_000))
        .isInstanceOf(RoutingModel.Broken.class)
        .hasMessageContaining("no final answer");
  }
}
