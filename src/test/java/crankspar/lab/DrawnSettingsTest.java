package crankspar.lab;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router;
import crankspar.Router.DedupScope;
import crankspar.Router.Freshness;
import crankspar.Router.Repeat;
import crankspar.Router.RequestClass;
import crankspar.lab.RoutingModel.Figures;
import crankspar.lab.RoutingModel.World;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Settings of customers that nobody has met: drawn within the protocol, played by the routing
 * model. Every rule that it checks is kept.
 */
class DrawnSettingsTest {
  /** What a customer may set, as factors on the lab's own. */
  record Drawn(
      double aims,
      double patience,
      double bound,
      int tries,
      double coldFrom,
      double multiple,
      double grace,
      int repeat,
      int order,
      int poolers) {}

  private static Router.Settings settings(Drawn d) {
    Router.Settings s = LabSettings.platform(d.poolers());
    var classes = new ArrayList<RequestClass>();
    List<Freshness> levels =
        List.of(
            Freshness.BOUNDED, Freshness.SESSION, Freshness.FRESH, Freshness.ANY, Freshness.WRITE);
    for (int i = 0; i < levels.size(); i++) {
      RequestClass c = s.classes().get(i);
      // The long one stays the one that needs nothing, and the last one the write: the others take
      // each other's places.
      Freshness level = i < 3 ? levels.get((i + d.order()) % 3) : levels.get(i);
      boolean write = level == Freshness.WRITE;
      Repeat repeat = !write ? Repeat.SAFE : Repeat.values()[d.repeat()];
      classes.add(
          new RequestClass(
              "class-" + i,
              c.targetLatency() * d.aims(),
              c.targetLatency() * d.aims() * d.patience(),
              c.value(),
              i % 2 == 0 ? 0.2 : 0,
              repeat,
              DedupScope.ALL,
              900,
              level,
              level == Freshness.BOUNDED ? d.bound() : 0));
    }
    var r = s.guarantees();
    var l = s.limits();
    return new Router.Settings(
        s.seed(),
        s.zone(),
        s.zones(),
        s.instanceIndex(),
        s.instanceCount(),
        s.batchInterval(),
        s.watchDiscovery(),
        classes,
        s.laggingRead(),
        s.patience(),
        s.roleInList(),
        s.sessionMarks(),
        s.reportsPosition(),
        s.commitWaits(),
        s.positionEpoch(),
        s.reports(),
        new Router.Guarantees(
            r.answerSlack(),
            r.maxDiscoveryGap(),
            d.coldFrom(),
            r.rampTime(),
            d.grace(),
            d.multiple(),
            r.fall(),
            r.softRemoval()),
        new Router.Limits(
            d.tries(),
            l.hedging(),
            l.cancellation(),
            l.probes(),
            l.retryAfter(),
            l.maxRetryAfter(),
            l.connectTimeout(),
            l.connectionIdleTimeout(),
            l.maxConnections(),
            l.peerMessages()),
        s.prices());
  }

  /** A moderate load, a cold start in each group, a zone that is cut off and comes back. */
  @Property(tries = 60, seed = "34")
  void noRuleIsBrokenAndNobodyIsStarved(@ForAll("drawn") Drawn d, @ForAll long seed) {
    var model =
        new RoutingModel(new World(seed, d.poolers(), 3, 6, 90, 0.2, settings(d)))
            .run(1500)
            .measure();
    for (int g = 0; g < 3; g++) {
      model.cold(g, 1 + g, 1000);
    }
    Figures f = model.run(3000).cutZone(1, true).run(1500).cutZone(1, false).run(1500).figures();
    assertThat(f.served()).as("of the worth").isGreaterThan(0.4);
    assertThat(f.byClass())
        .as("of each class")
        .allSatisfy(served -> assertThat(served).isGreaterThan(0.4));
    assertThat(f.coldShare()).as("of what a cold one bears").isLessThan(1);
  }

  @Provide
  Arbitrary<Drawn> drawn() {
    return Combinators.combine(
            Arbitraries.doubles().between(0.8, 4),
            Arbitraries.doubles().between(1.2, 5),
            Arbitraries.doubles().between(100, 2000),
            Arbitraries.integers().between(2, 10),
            Arbitraries.doubles().between(0.15, 0.5),
            Arbitraries.doubles().between(2, 5),
            Arbitraries.doubles().between(250, 3000))
        .flatAs(
            (aims, patience, bound, tries, coldFrom, multiple, grace) ->
                Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.of(1, 3, 8, 20, 40))
                    .as(
                        (repeat, order, poolers) ->
                            new Drawn(
                                aims, patience, bound, tries, coldFrom, multiple, grace, repeat,
                                order, poolers)));
  }
}
