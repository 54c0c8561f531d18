package crankspar.audit;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.audit.Stand.Origin;
import java.util.List;
import org.junit.jupiter.api.Test;

class StandsTest {
  private final Stands stands = new Stands(100, "1+a");

  private static Member member(String id, Health health, double started) {
    return new Member(id, "z", false, 1, health, 1, "m", started);
  }

  @Test
  void onlyWhatChangesMakesANewStand() {
    var list = List.of(member("a", Health.RUNNING, 0), member("b", Health.RUNNING, 0));
    Stand one = stands.step(200, new Stands.Event.Listed(5, list, Origin.DISCOVERY));
    assertThat(one)
        .isNotNull()
        .extracting(Stand::number, Stand::origin, Stand::revision, Stand::epoch)
        .containsExactly(2, Origin.DISCOVERY, 5L, 1);
    assertThat(
            stands.step(
                300,
                new Stands.Event.Listed(5, List.of(list.get(1), list.get(0)), Origin.DISCOVERY)))
        .as("in another order")
        .isNull();
    assertThat(
            stands
                .step(
                    400,
                    new Stands.Event.Listed(
                        6, List.of(list.get(0), member("b", Health.DRAINING, 0)), Origin.DISCOVERY))
                .content())
        .isNotEqualTo(one.content());
  }

  /**
   * A discovery that counts from 1 anew: what it numbers is not compared with what was numbered
   * before.
   */
  @Test
  void aLowerNumberIsAnotherCount() {
    stands.step(
        200,
        new Stands.Event.Listed(41, List.of(member("a", Health.RUNNING, 0)), Origin.DISCOVERY));
    assertThat(
            stands
                .step(
                    300,
                    new Stands.Event.Listed(
                        2, List.of(member("a", Health.RUNNING, 0)), Origin.DISCOVERY))
                .epoch())
        .isEqualTo(2);
    stands.step(400, new Stands.Event.Discovery("a:1", Origin.FILE));
    assertThat(stands.step(500, new Stands.Event.Discovery("b:1", Origin.OPERATOR)).epoch())
        .isEqualTo(3);
    assertThat(stands.step(600, new Stands.Event.Discovery("b:1", Origin.OPERATOR))).isNull();
  }

  @Test
  void theNewestPositionSaysWhoIsPrimary() {
    assertThat(stands.step(200, new Stands.Event.Primary(1, "a", 1000))).isNotNull();
    assertThat(stands.step(210, new Stands.Event.Primary(1, "a", 1010))).isNull();
    assertThat(stands.step(220, new Stands.Event.Primary(1, "b", 1005)))
        .as("an older word")
        .isNull();
    assertThat(stands.step(230, new Stands.Event.Primary(1, "b", 1020))).isNotNull();
    assertThat(stands.primaries()).containsEntry(1, "b");
  }

  @Test
  void marksAndConfigurationCountAndAreBounded() {
    assertThat(stands.step(1, new Stands.Event.Marked(1, List.of("x"), Origin.OPERATOR)).marks())
        .isEqualTo(1);
    assertThat(stands.step(2, new Stands.Event.Marked(2, List.of("x"), Origin.PEER))).isNull();
    for (int i = 0; i < 2 * Stands.KEPT; i++) {
      stands.step(i, new Stands.Event.Configured("text " + i, Origin.OPERATOR));
    }
    assertThat(stands.all()).hasSize(Stands.KEPT);
    assertThat(stands.now().generation()).isEqualTo(2 * Stands.KEPT);
  }
}
