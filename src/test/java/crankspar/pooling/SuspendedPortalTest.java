package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * Tests clients that fetch one row and leave the portal suspended, as drivers with a row limit do.
 */
class SuspendedPortalTest extends HardCasesFixture {
  private static String firstRow(PgWire client, String sql) throws IOException {
    client.send(
        PgWire.parse("", sql),
        PgWire.bind(""),
        Frame.body().text("").int32(1).as('E'),
        PgWire.sync());
    return PgWire.brief(client.untilReady());
  }

  /**
   * Guards against an option that remains unrecorded on the connection and reaches its next client.
   */
  @Test
  void anOptionThatASuspendedPortalHasSetIsItsClientsOwn() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire();
        PgWire other = stand.wire()) {
      assertThat(firstRow(client, "SELECT set_config('TimeZone', 'Asia/Tokyo', false)"))
          .isEqualTo("1 2 D:Asia/Tokyo s Z:I");
      assertThat(other.ask("SELECT current_setting('TimeZone')")).contains("D:UTC");
      assertThat(client.ask("SELECT current_setting('TimeZone')")).contains("D:Asia/Tokyo");
    }
  }

  /** Guards against giving a connection that holds a client's session lock to another client. */
  @Test
  void aSessionLockThatASuspendedPortalHasTakenKeepsItsConnection() throws Exception {
    try (var stand = new Stand(0, places(2));
        PgWire client = stand.wire();
        PgWire other = stand.wire()) {
      assertThat(firstRow(client, "SELECT pg_try_advisory_lock(1)")).startsWith("1 2 D: s");
      String mine = client.ask("SELECT pg_backend_pid()");
      assertThat(other.ask("SELECT pg_backend_pid()")).isNotEqualTo(mine);
      assertThat(client.ask("SELECT pg_backend_pid()")).isEqualTo(mine);
    }
  }

  /** Guards against counting a statement once per Execute: further fetches do not run it again. */
  @Test
  void aLockThatIsFetchedToTheEndIsGivenBackByOneUnlock() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire();
        PgWire other = stand.wire()) {
      Frame fetch = Frame.body().text("").int32(1).as('E');
      client.send(
          PgWire.parse("", "SELECT pg_try_advisory_lock(1)"),
          PgWire.bind(""),
          fetch,
          fetch,
          PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("1 2 D: s C:SELECT 1 Z:I");
      assertThat(client.ask("SELECT pg_advisory_unlock(1)")).startsWith("T D:");
      assertThat(other.ask("SELECT 1")).isEqualTo("T D:1 C:SELECT 1 Z:I");
    }
  }
}
