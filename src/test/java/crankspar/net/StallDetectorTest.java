package crankspar.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class StallDetectorTest {
  private final StallDetector detector = new StallDetector();

  @Test
  void timeInWhichNoStepWasMadeIsAStall() {
    assertThat(detector.step(100)).isZero();
    assertThat(detector.step(1600)).isEqualTo(1500);
    assertThat(detector.step(1601)).as("it is noticed once").isZero();
  }

  /** Guards against an overloaded loop that is taken for one that stood still. */
  @Property(seed = "20261201", tries = 500)
  void aLoopThatIsLateButWorksHasNotStalled(
      @ForAll @Size(min = 1, max = 50) List<@DoubleRange(min = 0.1, max = 199) Double> tasks) {
    var working = new StallDetector();
    double now = 0;
    working.step(now);
    for (double takes : tasks) {
      now += takes;
      assertThat(working.step(now)).isZero();
    }
  }

  /**
   * A signal that waited for the process to go on came at the stall's beginning, as far as known.
   */
  @Test
  void whatIsNoticedDuringOrRightAfterAStallMayHaveComeAtItsBeginning() {
    detector.step(100);
    assertThat(detector.earliest(150)).isEqualTo(150);
    assertThat(detector.earliest(1600)).as("the loop has not gone on yet").isEqualTo(100);
    detector.step(1600);
    detector.step(1750);
    assertThat(detector.earliest(1600 + StallDetector.AFTERMATH)).isEqualTo(100);
    detector.step(1900);
    assertThat(detector.earliest(1901)).isEqualTo(1901);
  }
}
