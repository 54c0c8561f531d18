package crankspar.net;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import java.util.List;
import org.junit.jupiter.api.Test;

class PauseTest {
    @Test void timeInWhichNothingRanThoughSomethingWasDueIsAPause() {
        var p = new Pause();
        p.ended(0, 1);
        assertThat(p.began(100, 1600)).isEqualTo(1500);
        assertThat(p.holdFor(1600)).isEqualTo(Pause.HELD);
    }

    @Test void anIdleLoopWithNothingDueHasNotStoodStill() {
        var p = new Pause();
        p.ended(0, 1);
        assertThat(p.began(5000, 5000.4)).isZero();
    }

    /** Guards against an overloaded loop that holds its work back on top of being late: it would never catch up. */
    @Property(seed = "20261201", tries = 500) void aLoopThatIsLateButWorksIsNotPaused(@ForAll @Size(min = 1, max = 50) List<@DoubleRange(min = 0.1, max = 199) Double> tasks) {
        var p = new Pause();
        p.ended(0, 0);
        double now = 0;
        for (double takes : tasks) {
            assertThat(p.began(-10_000, now)).isZero();
            assertThat(p.ended(now, now + takes)).isZero();
            now += takes;
        }
    }

    /** A stop by a signal strikes in the midst of a task as well. */
    @Test void aTaskThatTakesAsLongIsAPause() {
        var p = new Pause();
        assertThat(p.began(0, 0)).isZero();
        assertThat(p.ended(0, 1500)).isEqualTo(1500);
    }

    @Test void newsProlongsTheHoldUpToABound() {
        var p = new Pause();
        p.ended(0, 0);
        p.began(0, 1000);
        p.heard(1024);
        assertThat(p.holdFor(1025)).isEqualTo(4);
        for (double t = 1025; t < 1200; t += 2) {
            p.heard(t);
        }
        assertThat(p.holdFor(1000 + Pause.HELD_MOST)).isZero();
        assertThat(p.holdFor(1200)).isNegative();
    }
}
