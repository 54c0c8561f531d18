package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What a server connection keeps of the texts that its clients have prepared. */
class ServerStatementsTest extends HardCasesFixture {
  private static final int LONG_TEXT = 1000 * 1024;

  private static Prepared statement(int number, int length) {
    return Prepared.of("SELECT " + number + " -- " + "x".repeat(length), new byte[2]);
  }

  /**
   * Guards against a client that prepares one long statement after the other and closes each: its
   * server connection kept two hundred of them, in no account, which is more than the heap.
   */
  @Test
  void longStatementsThatWereClosedAreNotKeptByTheirNumberAlone() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = stand.wire();
        PgWire admin = PgWire.to(stand.address(), "admin", "crankspar")) {
      for (int i = 0; i < 12; i++) {
        String name = "s" + i;
        prepare(client, name, "SELECT 1 -- " + i + "x".repeat(LONG_TEXT));
        assertThat(use(client, name)).contains("C:SELECT 1");
        client.send(Frame.close('S', name), PgWire.sync());
        assertThat(PgWire.brief(client.untilReady())).isEqualTo("3 Z:I");
      }
      assertThat(admin.ask("SHOW servers")).containsPattern("idle\\|[0-9]+\\|[0-9]+\\|1\\|0\\|I");
    }
  }

  @Test
  void theLeastRecentlyUsedMakeRoomByTheirSize() {
    var server = new ServerState();
    int third = ServerState.MAX_STATEMENT_BYTES / 3;
    Prepared first = statement(1, third);
    Prepared second = statement(2, third);
    Prepared next = statement(3, third);
    server.add(first);
    server.add(second);
    assertThat(server.has(first)).isTrue(); // used again
    assertThat(StateDiff.prepareSteps(server, next, 200).close()).containsExactly(second);
    assertThat(StateDiff.prepareSteps(server, statement(4, 10), 200).close()).isEmpty();
    server.remove(second);
    assertThat(StateDiff.prepareSteps(server, next, 200).close()).isEmpty();
    server.onCompleted(Sql.of(Sql.Kind.DISCARD_ALL), "", StatementOptions.NONE);
    assertThat(StateDiff.prepareSteps(server, statement(5, 3 * third), 200).close()).isEmpty();
  }

  /** Guards against sharing that is accounted as though each connection had a copy. */
  @Test
  void manyShortStatementsOfManyConnectionsAreAccountedAndServed() throws Exception {
    try (var stand = new Stand(0, places(4))) {
      var clients = IntStream.range(0, 4).mapToObj(i -> wire(stand)).toList();
      for (int round = 0; round < 20; round++) {
        for (PgWire client : clients) {
          prepare(client, "s" + round, "SELECT " + round);
          assertThat(use(client, "s" + round)).contains("D:" + round);
        }
      }
      try (PgWire admin = PgWire.to(stand.address(), "admin", "crankspar")) {
        assertThat(admin.ask("SHOW counters")).doesNotContain("pooling_servers_shed");
      }
      for (PgWire client : clients) {
        client.close();
      }
    }
  }

  private static PgWire wire(Stand stand) {
    try {
      return stand.wire();
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
