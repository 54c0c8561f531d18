package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.net.Socket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a session leaves on its connection when its end is disturbed. */
class CancelledResetTest extends HardCasesFixture {
  /**
   * A client cancels what it asked for and leaves; its connection is clean before another client
   * has it. Guards against a cancel that stops the reset (review/10), in each mode and end of a
   * client.
   */
  @ParameterizedTest
  @ValueSource(strings = {"transaction", "session"})
  void theNextClientFindsNothingOfOneThatCancelsAndLeaves(String mode) throws Exception {
    String setup = "databases { db { mode = " + mode + ", places { most = 1 } } }";
    try (var stand = new Stand(0, setup)) {
      for (int round = 0; round < 20; round++) {
        try (PgWire a = stand.wire()) {
          a.ask("SET TIME ZONE 'Asia/Tokyo'");
          a.ask("LISTEN news");
          for (int cancels = 0; cancels <= round % 4; cancels++) {
            try (var other = new Socket(stand.address().getAddress(), stand.address().getPort())) {
              other.getOutputStream().write(Frame.cancel(a.process, a.secret));
            }
          }
        }
        try (PgWire b = stand.wire()) {
          assertThat(b.ask("SELECT current_setting('TimeZone')")).contains("D:UTC");
          assertThat(b.ask("NOTIFY news")).isEqualTo("C:NOTIFY Z:I");
        }
      }
    }
  }
}
