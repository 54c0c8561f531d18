package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.io.IOException;
import java.time.LocalDateTime;
import java.time.ZoneId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a prepared statement keeps the meaning that it had under its client's options when it
 * was prepared, on whichever connection it runs: a timestamp without a zone, for instance, is
 * interpreted in the time zone set at that moment.
 */
class StatementOptionsTest extends HardCasesFixture {
  private static final String UTC = "UTC";
  private static final String TOKYO = "Asia/Tokyo";
  private static final String VANCOUVER = "America/Vancouver";
  private static final String SQL = "SELECT '2026-12-04 10:00:00'::timestamptz";

  private static PgWire client(Stand stand, String zone) throws IOException {
    return PgWire.to(stand.address(), "app", "db", "TimeZone", zone);
  }

  private static String instant(String zone) {
    var local = LocalDateTime.of(2026, 12, 4, 10, 0, 0);
    return "D:" + local.atZone(ZoneId.of(zone)).toEpochSecond();
  }

  private static String answer(String zone) {
    return "2 " + instant(zone) + " C:SELECT 1 Z:";
  }

  private static void setZone(PgWire client, String zone) throws IOException {
    assertThat(client.ask("SET TIME ZONE '" + zone + "'")).startsWith("C:SET");
  }

  /** Guards against answers in another client's time zone when both prepare the same text. */
  @ParameterizedTest
  @ValueSource(strings = {"", "s"})
  void clientsWithDifferentOptionsDoNotShareAStatement(String name) throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire first = client(stand, UTC);
        PgWire second = client(stand, VANCOUVER)) {
      for (int i = 0; i < 2; i++) {
        for (PgWire client : new PgWire[] {first, second}) {
          String zone = client == first ? UTC : VANCOUVER;
          if (i == 0 || name.isEmpty()) {
            prepare(client, name, SQL);
          }
          assertThat(use(client, name)).isEqualTo(answer(zone) + "I");
        }
      }
    }
  }

  /**
   * Guards against reusing a client's earlier statement for the same text prepared under new
   * options.
   */
  @Test
  void sameTextPreparedAfterASetUsesTheNewOptions() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = client(stand, UTC)) {
      prepare(client, "a", SQL);
      setZone(client, VANCOUVER);
      prepare(client, "b", SQL);
      assertThat(use(client, "a")).isEqualTo(answer(UTC) + "I");
      assertThat(use(client, "b")).isEqualTo(answer(VANCOUVER) + "I");
    }
  }

  /**
   * Guards against preparing a statement on a new connection under options that its client set only
   * after preparing it.
   */
  @Test
  void aStatementPreparedBeforeASetIsTheSameOnAnotherConnection() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = client(stand, UTC)) {
      prepare(client, "s", SQL);
      setZone(client, VANCOUVER);
      stand.primary.cutAll();
      assertThat(use(client, "s")).isEqualTo(answer(UTC) + "I");
      assertThat(client.ask("SHOW timezone")).isEqualTo("T D:" + VANCOUVER + " C:SHOW Z:I");
      stand.primary.cutAll();
      assertThat(client.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
      client.ask("SET LOCAL TIME ZONE '" + TOKYO + "'");
      assertThat(use(client, "s")).isEqualTo(answer(UTC) + "T");
      assertThat(client.ask("SHOW timezone")).isEqualTo("T D:" + TOKYO + " C:SHOW Z:T");
      assertThat(client.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      assertThat(client.ask("SHOW timezone")).isEqualTo("T D:" + VANCOUVER + " C:SHOW Z:I");
    }
  }

  /**
   * Guards against a shared statement prepared under options that were rolled back or set by SET
   * LOCAL.
   */
  @ParameterizedTest
  @ValueSource(strings = {"SET TIME ZONE", "SET LOCAL TIME ZONE"})
  void aStatementPreparedInABlockKeepsTheOptionsOfThatBlock(String set) throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = client(stand, UTC);
        PgWire other = client(stand, UTC)) {
      client.ask("BEGIN");
      client.ask(set + " '" + VANCOUVER + "'");
      client.send(PgWire.parse("s", SQL), PgWire.sync());
      assertThat(PgWire.brief(client.untilReady())).isEqualTo("1 Z:T");
      client.ask("ROLLBACK");
      assertThat(use(client, "s")).isEqualTo(answer(VANCOUVER) + "I");
      prepare(other, "s", SQL);
      assertThat(use(other, "s")).isEqualTo(answer(UTC) + "I");
      stand.primary.cutAll();
      assertThat(use(client, "s")).isEqualTo(answer(VANCOUVER) + "I");
    }
  }

  /**
   * Guards against handling a Parse without the effect of a preceding SET that is not answered yet.
   */
  @Test
  void aSetAndAParseInOneBatch() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire other = client(stand, UTC);
        PgWire client = client(stand, UTC)) {
      prepare(other, "s", SQL);
      client.send(
          PgWire.parse("", "SET TIME ZONE '" + VANCOUVER + "'"),
          PgWire.bind(""),
          PgWire.execute(),
          PgWire.parse("s", SQL),
          PgWire.bind("s"),
          PgWire.execute(),
          PgWire.sync());
      assertThat(PgWire.brief(client.untilReady()))
          .isEqualTo("1 2 C:SET 1 2 " + instant(VANCOUVER) + " C:SELECT 1 Z:I");
      assertThat(use(other, "s")).isEqualTo(answer(UTC) + "I");
      assertThat(use(client, "s")).isEqualTo(answer(VANCOUVER) + "I");
    }
  }

  /**
   * Guards against the same fault with SQL PREPARE, which is repeated by its text on other
   * connections.
   */
  @Test
  void aStatementOfSqlKeepsTheOptionsOfItsPrepare() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire first = client(stand, UTC);
        PgWire second = client(stand, VANCOUVER)) {
      first.ask("PREPARE p AS " + SQL);
      second.ask("PREPARE p AS " + SQL);
      assertThat(first.ask("EXECUTE p")).contains(instant(UTC));
      assertThat(second.ask("EXECUTE p")).contains(instant(VANCOUVER));
      setZone(first, TOKYO);
      stand.primary.cutAll();
      assertThat(first.ask("EXECUTE p")).contains(instant(UTC));
      assertThat(first.ask("SHOW timezone")).isEqualTo("T D:" + TOKYO + " C:SHOW Z:I");
    }
  }

  /**
   * Guards against losing an option that an EXECUTE has set: it must be restored on the client's
   * next connection.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anOptionThatAnExecuteSetsIsItsClientsOwn(boolean extended) throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = client(stand, UTC);
        PgWire other = client(stand, UTC)) {
      client.ask("PREPARE p AS SELECT set_config('TimeZone', '" + TOKYO + "', false)");
      if (extended) {
        prepare(other, "s", SQL);
        client.send(
            PgWire.parse("", "EXECUTE p"),
            PgWire.bind(""),
            PgWire.execute(),
            PgWire.parse("s", SQL),
            PgWire.sync());
        assertThat(PgWire.brief(client.untilReady()))
            .isEqualTo("1 2 D:" + TOKYO + " C:SELECT 1 1 Z:I");
        assertThat(use(client, "s")).isEqualTo(answer(TOKYO) + "I");
      } else {
        assertThat(client.ask("EXECUTE p")).isEqualTo("T D:" + TOKYO + " C:SELECT 1 Z:I");
      }
      assertThat(other.ask("SHOW timezone")).isEqualTo("T D:" + UTC + " C:SHOW Z:I");
      assertThat(client.ask("SHOW timezone")).isEqualTo("T D:" + TOKYO + " C:SHOW Z:I");
    }
  }

  /**
   * Guards against a prepared ROLLBACK that cannot be prepared on a new connection because the
   * block has failed.
   */
  @Test
  void aPreparedRollbackEndsAFailedBlockUnderOtherOptions() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire client = client(stand, UTC)) {
      prepare(client, "end", "ROLLBACK");
      setZone(client, VANCOUVER);
      stand.primary.cutAll();
      client.ask("BEGIN");
      client.ask("SELECT raise('22012')");
      assertThat(use(client, "end")).isEqualTo("2 C:ROLLBACK Z:I");
    }
  }

  /** Options that do not affect parsing, such as the application name, do not prevent sharing. */
  @Test
  void clientsThatDifferInTheirNamesAloneShareAStatement() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire first = PgWire.to(stand.address(), "app", "db", "application_name", "a");
        PgWire second = PgWire.to(stand.address(), "app", "db", "application_name", "b")) {
      prepare(first, "s", SQL);
      prepare(second, "s", SQL);
      assertThat(use(second, "s")).isEqualTo(answer(UTC) + "I");
      assertThat(stand.recording.prepares.get()).isEqualTo(1);
    }
  }
}
