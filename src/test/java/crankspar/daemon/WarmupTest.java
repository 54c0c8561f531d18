package crankspar.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.TestSettings;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a first second of late and lost answers: the path must have run before clients
 * come.
 */
class WarmupTest {
  @Test
  void theWholePathRunsInMemoryAndAnswersAll() {
    int answers = new Warmup().run(TestSettings.platform(), List.of(), Warmup.MOST);

    // 1,000 requests, unless the machine was too slow for them: nearly all of what was asked is
    // served.
    assertThat(answers).isBetween(100, 1000);
  }
}
