package crankspar.lab.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak; {@link FaultSoak#main} runs many seeds. */
class FaultSoakTest {
  @TempDir Path dir;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void theRulesHoldUnderDrawnFaults(long seed) throws Exception {
    try (var soak = new FaultSoak(seed, dir)) {
      assertThat(soak.run()).as("seed " + seed).isEmpty();
    }
  }
}
