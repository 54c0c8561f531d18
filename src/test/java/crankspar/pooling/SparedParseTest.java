package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import org.junit.jupiter.api.Test;

/**
 * Tests clients that share a server connection on which a statement is already prepared, so that
 * its Parse need not be sent.
 */
class SparedParseTest extends HardCasesFixture {
  /** Guards against running the unnamed statement of another client. */
  @Test
  void aClientWithoutAnUnnamedStatementDoesNotRunAnothersOne() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire first = stand.wire();
        PgWire second = stand.wire()) {
      prepare(first, "", "SELECT 'of first'");
      assertThat(use(second, "")).isEqualTo("E:26000 Z:I");
      assertThat(use(first, "")).isEqualTo("2 D:of first C:SELECT 1 Z:I");
    }
  }

  /**
   * Guards against skipping a Parse of the unnamed statement after a query of the pooler has
   * removed that statement from the server.
   */
  @Test
  void anUnnamedStatementIsPreparedAnewBehindAChangeOfOptions() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire first = PgWire.to(stand.address(), "app", "db", "application_name", "a");
        PgWire second = PgWire.to(stand.address(), "app", "db", "application_name", "b")) {
      prepare(first, "", "SELECT 1");
      second.send(
          Frame.body().text("").text("SELECT 1").int16(0).as('P'),
          PgWire.bind(""),
          PgWire.execute(),
          Frame.body().as('H'));
      var heard = new StringBuilder();
      for (char type = 0; type != 'C' && type != 'E'; ) {
        type = second.next().type();
        heard.append(type == 'S' ? "" : type);
      }
      assertThat(heard.toString()).isEqualTo("12DC");
    }
  }

  /**
   * Guards against locally answering a Parse that the server would reject in a failed transaction
   * block.
   */
  @Test
  void aParseInAFailedBlockIsRefusedThoughTheServerHasTheStatement() throws Exception {
    try (var stand = new Stand(0, places(2));
        PgWire client = stand.wire()) {
      prepare(client, "a", "SELECT 1");
      prepare(client, "end", "ROLLBACK");
      client.ask("BEGIN");
      client.ask("SELECT raise('22012')");
      client.send(PgWire.parse("b", "SELECT 1"), PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("E:25P02 Z:E");
      client.send(PgWire.parse("end again", "ROLLBACK"), PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("1 Z:E");
      assertThat(use(client, "end again")).isEqualTo("2 C:ROLLBACK Z:I");
      assertThat(use(client, "b")).isEqualTo("E:26000 Z:I");
    }
  }

  /** Guards against an error that differs from the one on a dedicated connection. */
  @Test
  void aTakenNameInAFailedBlockIsRefusedAsTaken() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire()) {
      prepare(client, "a", "SELECT 1");
      stand.primary.cutAll();
      client.ask("BEGIN");
      client.ask("SELECT raise('22012')");
      client.send(PgWire.parse("a", "ROLLBACK"), PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("E:42P05 Z:E");
      client.send(PgWire.parse("a", "SELECT 2"), PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("E:25P02 Z:E");
      assertThat(client.ask("ROLLBACK")).isEqualTo("C:ROLLBACK Z:I");
      assertThat(use(client, "a")).isEqualTo("2 D:1 C:SELECT 1 Z:I");
    }
  }
}
