package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.lab.PgWire;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What goes on of each side's messages, step by step and without a socket. */
class ExchangeTest {
  private final SessionState client = SessionState.of(Map.of());
  private final ServerState server = new ServerState();
  private final Exchange x = exchange(Set.of(), 200);

  private Exchange exchange(Set<Pins.Kind> refused, int statements) {
    var limits =
        new Setup.Limits(10, 10, 1000, 3, 1 << 16, statements, 1 << 20, 1000, 1000, 1000, 1000);
    return new Exchange(client, server, new Progress(), limits, refused);
  }

  private static String types(List<Frame> frames) {
    var text = new StringBuilder();
    frames.forEach(f -> text.append(f.type()));
    return text.toString();
  }

  private String out(Exchange x, Frame... frames) throws Exception {
    var text = new StringBuilder();
    for (Frame f : frames) {
      Exchange.Moves m = x.fromClient(f);
      text.append(types(m.toServer()))
          .append(m.toClient().isEmpty() ? "" : "<" + types(m.toClient()) + ">");
    }
    return text.toString();
  }

  private String back(Exchange x, Frame... frames) throws Exception {
    var text = new StringBuilder();
    for (Frame f : frames) {
      text.append(types(x.fromServer(f).toClient()));
    }
    return text.toString();
  }

  private static Frame of(char type) {
    return Frame.body().as(type);
  }

  private static Frame error(String code) {
    return Frame.error("ERROR", code, "x", null);
  }

  private static Frame[] use(String name, String sql) {
    return new Frame[] {
      PgWire.parse(name, sql), PgWire.bind(name), PgWire.execute(), PgWire.sync()
    };
  }

  private void once(String name, String sql) throws Exception {
    assertThat(out(x, use(name, sql))).isEqualTo("PBES");
    assertThat(back(x, of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("12CZ");
    x.batch();
  }

  @Test
  void aStatementThatTheServerHasIsNotPreparedAgain() throws Exception {
    once("a", "SELECT 1");
    assertThat(out(x, use("b", "SELECT 1"))).isEqualTo("<1>BES");
    assertThat(back(x, of('2'), Frame.complete("SELECT 1"), Frame.ready('I'))).isEqualTo("2CZ");
    assertThat(x.prepares()).isEqualTo(1);
    assertThat(x.settled()).isTrue();
  }

  @Test
  void whatIsSparedIsSaidInItsTurn() throws Exception {
    once("a", "SELECT 1");
    assertThat(
            out(
                x,
                PgWire.bind("a"),
                PgWire.execute(),
                PgWire.parse("b", "SELECT 1"),
                PgWire.sync()))
        .isEqualTo("BES");
    assertThat(back(x, of('2'))).isEqualTo("2");
    assertThat(back(x, Frame.complete("SELECT 1"))).isEqualTo("C1");
    assertThat(back(x, Frame.ready('I'))).isEqualTo("Z");
  }

  @Test
  void whatIsBroughtIsSwallowed() throws Exception {
    client.prepare("a", Prepared.of("SELECT 1", new byte[2]));
    assertThat(out(x, PgWire.bind("a"), PgWire.execute(), PgWire.sync())).isEqualTo("PBES");
    assertThat(back(x, of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("2CZ");
  }

  @Test
  void theSameNameWithAnotherTextIsAnotherStatement() throws Exception {
    once("a", "SELECT 1");
    SessionState other = SessionState.of(Map.of());
    other.prepare("a", Prepared.of("SELECT 2", new byte[2]));
    var theirs = new Exchange(other, server, new Progress(), Setup.Limits.DEFAULT, Set.of());
    Exchange.Moves m = theirs.fromClient(PgWire.bind("a"));
    assertThat(types(m.toServer())).isEqualTo("PB");
    Frame.Reader r = m.toServer().get(1).read();
    r.text();
    assertThat(r.text())
        .isEqualTo(Prepared.of("SELECT 2", new byte[2]).name())
        .isNotEqualTo(Prepared.of("SELECT 1", new byte[2]).name());
  }

  @Test
  void afterAnErrorTheRestOfThePipelineIsAsItWas() throws Exception {
    assertThat(
            out(
                x,
                PgWire.parse("a", "SELECT 1"),
                PgWire.parse("b", "SELECT bad"),
                PgWire.parse("c", "SELECT 3"),
                PgWire.sync()))
        .isEqualTo("PPPS");
    assertThat(back(x, of('1'), error("42703"), Frame.ready('I'))).isEqualTo("1EZ");
    assertThat(client.prepared("a")).isNotNull();
    assertThat(client.prepared("b")).isNull();
    assertThat(client.prepared("c")).isNull();
    assertThat(server.has(Prepared.of("SELECT 3", new byte[2]))).isFalse();
    assertThat(server.has(Prepared.of("SELECT 1", new byte[2]))).isTrue();
  }

  @Test
  void anErrorBeforeTheSyncHasTheRestPassedOver() throws Exception {
    assertThat(out(x, PgWire.parse("a", "SELECT bad"), of('H'))).isEqualTo("PH");
    assertThat(back(x, error("42703"))).isEqualTo("E");
    assertThat(out(x, PgWire.bind("a"), PgWire.execute())).isEmpty();
    assertThat(out(x, PgWire.sync())).isEqualTo("S");
    assertThat(back(x, Frame.ready('I'))).isEqualTo("Z");
  }

  @Test
  void nothingGoesOnUntilTheServerIsReady() throws Exception {
    out(x, Frame.query("SELECT 1"));
    assertThat(x.pausing()).isTrue();
    back(x, Frame.complete("SELECT 1"), Frame.ready('T'));
    assertThat(x.pausing()).isFalse();
    assertThat(x.settled()).isFalse();
  }

  @Test
  void aLostStatementMayBeBegunAgainWhereNothingRan() throws Exception {
    once("a", "SELECT 1");
    assertThat(out(x, PgWire.bind("a"), PgWire.execute(), PgWire.sync())).isEqualTo("BES");
    back(x, error("26000"), Frame.ready('I'));
    assertThat(x.again()).isTrue();
    x.rewind();
    x.batch();
    assertThat(out(x, PgWire.bind("a"), PgWire.execute(), PgWire.sync())).isEqualTo("CPBES");
    assertThat(back(x, of('3'), of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("2CZ");
  }

  @Test
  void aLostStatementInsideABlockIsTheClientsToHear() throws Exception {
    once("a", "SELECT 1");
    out(x, Frame.query("BEGIN"));
    back(x, Frame.complete("BEGIN"), Frame.ready('T'));
    x.batch();
    out(x, PgWire.bind("a"), PgWire.execute(), PgWire.sync());
    assertThat(back(x, error("0A000"), Frame.ready('E'))).isEqualTo("EZ");
    assertThat(x.again()).isFalse();
  }

  @Test
  void theLeastRecentlyUsedStatementIsClosed() throws Exception {
    Exchange small = exchange(Set.of(), 1);
    assertThat(out(small, use("a", "SELECT 1"))).isEqualTo("PBES");
    assertThat(back(small, of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("12CZ");
    assertThat(out(small, use("b", "SELECT 2"))).isEqualTo("CPBES");
    assertThat(back(small, of('3'), of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("12CZ");
    assertThat(server.statementCount()).isEqualTo(1);
  }

  @Test
  void whatTheOperatorRefusesIsSaidInItsTurn() throws Exception {
    Exchange strict = exchange(EnumSet.of(Pins.Kind.LISTEN), 10);
    assertThat(out(strict, Frame.query("LISTEN a"))).isEqualTo("<EZ>");
    assertThat(strict.settled()).isTrue();
    assertThat(
            out(
                strict,
                PgWire.parse("", "SELECT 1"),
                PgWire.bind(""),
                PgWire.parse("l", "LISTEN a"),
                PgWire.bind("l"),
                PgWire.sync()))
        .isEqualTo("PBS");
    assertThat(back(strict, of('1'), of('2'), Frame.ready('I'))).isEqualTo("12EZ");
  }

  @Test
  void aBoundOnStatements() throws Exception {
    for (String name : List.of("a", "b", "c")) {
      once(name, "SELECT '" + name + "'");
    }
    assertThat(out(x, PgWire.parse("d", "SELECT 4"), PgWire.sync())).isEqualTo("<E>S");
    assertThat(back(x, Frame.ready('I'))).isEqualTo("Z");
  }

  @Test
  void copyDataGoesOnWhileACopyRunsOnly() throws Exception {
    assertThat(out(x, PgWire.copyData("stray"))).isEmpty();
    out(x, Frame.query("COPY t FROM STDIN"));
    assertThat(back(x, of('G'))).isEqualTo("G");
    assertThat(x.pausing()).isFalse();
    assertThat(out(x, PgWire.copyData("1"), of('c'))).isEqualTo("dc");
    assertThat(x.pausing()).isTrue();
    assertThat(back(x, Frame.complete("COPY 1"), Frame.ready('I'))).isEqualTo("CZ");
  }

  @Test
  void anAnswerThatNothingAskedForIsMalformed() throws Exception {
    assertThatThrownBy(() -> back(x, Frame.complete("SELECT 1")))
        .isInstanceOf(Frame.Malformed.class);
    out(x, use("a", "SELECT 1"));
    assertThatThrownBy(() -> back(x, Frame.row(List.of("1"))))
        .hasMessageContaining("in answer to PARSE");
  }

  @Test
  void settingsCountOnceTheServerHasSaidSo() throws Exception {
    out(x, Frame.query("SET a TO 1; SELECT bad"));
    back(x, Frame.complete("SET"), error("42703"), Frame.ready('I'));
    assertThat(client.options()).isEmpty();
    x.batch();
    out(x, Frame.query("SET a TO 1"));
    assertThat(client.options()).isEmpty();
    back(x, Frame.complete("SET"), Frame.ready('I'));
    assertThat(client.options()).containsEntry("a", "1").isEqualTo(server.options());
  }
}
