package crankspar.policy;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router.DedupScope;
import crankspar.Router.Freshness;
import crankspar.Router.Repeat;
import crankspar.Router.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestCostTest {
  private static final RequestClass SOON = kind("soon", 250);
  private static final RequestClass LATER = kind("later", 3000);

  private final RequestCost cost = new RequestCost(List.of(SOON, LATER));

  private static RequestClass kind(String name, double targetLatency) {
    return new RequestClass(
        name,
        targetLatency,
        2 * targetLatency,
        1,
        0,
        Repeat.SAFE,
        DedupScope.ALL,
        0,
        Freshness.ANY,
        0);
  }

  private void seen(double soonMs, double laterMs) {
    for (int i = 0; i < 200; i++) {
      cost.arrived(SOON);
      cost.arrived(LATER);
      cost.answered(SOON, soonMs);
      cost.answered(LATER, laterMs);
    }
  }

  /** Guards against a class being taken for little work because it must be answered soon. */
  @Test
  void aShortTargetMakesNoRequestCheap() {
    seen(40, 40);
    assertThat(cost.of(SOON)).isBetween(0.99, 1.01);
    assertThat(cost.of(LATER)).as("an upper estimate").isGreaterThan(1.5);
  }

  /** Guards against a class being taken for little work because it may be answered late. */
  @Test
  void longAnswersCostMoreThanTheTargetTells() {
    seen(900, 100);
    assertThat(cost.of(SOON)).isBetween(1.7, 1.9);
    assertThat(cost.workMs(SOON)).isBetween(899.0, 901.0);
  }

  @Test
  void aClassThatNobodyHasAnsweredCostsAMeanRequestAtLeast() {
    assertThat(cost.of(SOON)).isEqualTo(1);
    assertThat(cost.of(LATER)).isEqualTo(12);
    assertThat(cost.workMs(LATER)).isEqualTo(3000);
  }
}
