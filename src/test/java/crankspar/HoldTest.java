package crankspar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against unsent reads that are held for more than half of their time: it costs the client
 * and the overall result.
 */
class HoldTest {
  @Test
  void aReadThatNothingTakesIsRefusedBeforeHalfItsTime() {
    Fake f = new Fake().start(); // a group without members
    f.ask("own", Fake.OWN, 400, "s");
    f.at(190);
    assertThat(f.finalAnswers("own")).isZero();
    f.at(199);
    assertThat(f.did("refuse own")).isTrue();
    assertThat(f.finalAnswers("own")).isOne();
  }

  @Test
  void aWriteWaitsOnForItsPrimary() {
    Fake f = new Fake().start();
    f.ask("write", Fake.WRITE, 1000, "s");
    f.at(520);
    assertThat(f.finalAnswers("write")).isZero();
  }
}
