package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.lab.PgWire;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Steps an exchange frame by frame, without a socket, and checks what is forwarded each way. */
class ExchangeTest {
  private final SessionState client = SessionState.of(Map.of());
  private final ServerState server = new ServerState();
  private final Exchange exchange = exchange(Set.of(), 200);

  private Exchange exchange(Set<Pins.Kind> refused, int statements) {
    var limits =
        new Setup.Limits(10, 10, 1000, 3, 1 << 16, statements, 1 << 20, 1000, 1000, 1000, 1000);
    return new Exchange(client, server, new Progress(false), limits, refused);
  }

  private static String types(List<Frame> frames) {
    var text = new StringBuilder();
    frames.forEach(f -> text.append(f.type()));
    return text.toString();
  }

  private String sendFromClient(Exchange x, Frame... frames) throws Exception {
    var text = new StringBuilder();
    for (Frame f : frames) {
      Exchange.Output m = x.fromClient(f);
      text.append(types(m.toServer()))
          .append(m.toClient().isEmpty() ? "" : "<" + types(m.toClient()) + ">");
    }
    return text.toString();
  }

  private String sendFromServer(Exchange x, Frame... frames) throws Exception {
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

  private void executeOnce(String name, String sql) throws Exception {
    assertThat(sendFromClient(exchange, use(name, sql))).isEqualTo("PBES");
    assertThat(
            sendFromServer(
                exchange, of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("12CZ");
    exchange.beginBatch();
  }

  @Test
  void aStatementThatTheServerHasIsNotPreparedAgain() throws Exception {
    executeOnce("a", "SELECT 1");
    assertThat(sendFromClient(exchange, use("b", "SELECT 1"))).isEqualTo("<1>BES");
    assertThat(sendFromServer(exchange, of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("2CZ");
    assertThat(exchange.prepares()).isEqualTo(1);
    assertThat(exchange.betweenTransactions()).isTrue();
  }

  @Test
  void locallyAnsweredMessagesKeepTheirOrder() throws Exception {
    executeOnce("a", "SELECT 1");
    assertThat(
            sendFromClient(
                exchange,
                PgWire.bind("a"),
                PgWire.execute(),
                PgWire.parse("b", "SELECT 1"),
                PgWire.sync()))
        .isEqualTo("BES");
    assertThat(sendFromServer(exchange, of('2'))).isEqualTo("2");
    assertThat(sendFromServer(exchange, Frame.complete("SELECT 1"))).isEqualTo("C1");
    assertThat(sendFromServer(exchange, Frame.ready('I'))).isEqualTo("Z");
  }

  @Test
  void repliesToThePoolersOwnMessagesAreNotForwarded() throws Exception {
    client.prepare("a", Prepared.of("SELECT 1", new byte[2]));
    assertThat(sendFromClient(exchange, PgWire.bind("a"), PgWire.execute(), PgWire.sync()))
        .isEqualTo("PBES");
    assertThat(
            sendFromServer(
                exchange, of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("2CZ");
  }

  @Test
  void theSameNameWithAnotherTextIsAnotherStatement() throws Exception {
    executeOnce("a", "SELECT 1");
    SessionState other = SessionState.of(Map.of());
    other.prepare("a", Prepared.of("SELECT 2", new byte[2]));
    var theirs = new Exchange(other, server, new Progress(false), Setup.Limits.DEFAULT, Set.of());
    Exchange.Output m = theirs.fromClient(PgWire.bind("a"));
    assertThat(types(m.toServer())).isEqualTo("PB");
    Frame.Reader r = m.toServer().get(1).read();
    r.text();
    assertThat(r.text())
        .isEqualTo(Prepared.of("SELECT 2", new byte[2]).name())
        .isNotEqualTo(Prepared.of("SELECT 1", new byte[2]).name());
  }

  @Test
  void anErrorUndoesTheRestOfThePipeline() throws Exception {
    assertThat(
            sendFromClient(
                exchange,
                PgWire.parse("a", "SELECT 1"),
                PgWire.parse("b", "SELECT bad"),
                PgWire.parse("c", "SELECT 3"),
                PgWire.sync()))
        .isEqualTo("PPPS");
    assertThat(sendFromServer(exchange, of('1'), error("42703"), Frame.ready('I')))
        .isEqualTo("1EZ");
    assertThat(client.prepared("a")).isNotNull();
    assertThat(client.prepared("b")).isNull();
    assertThat(client.prepared("c")).isNull();
    assertThat(server.has(Prepared.of("SELECT 3", new byte[2]))).isFalse();
    assertThat(server.has(Prepared.of("SELECT 1", new byte[2]))).isTrue();
  }

  @Test
  void afterAnErrorMessagesAreSkippedUpToSync() throws Exception {
    assertThat(sendFromClient(exchange, PgWire.parse("a", "SELECT bad"), of('H'))).isEqualTo("PH");
    assertThat(sendFromServer(exchange, error("42703"))).isEqualTo("E");
    assertThat(sendFromClient(exchange, PgWire.bind("a"), PgWire.execute())).isEmpty();
    assertThat(sendFromClient(exchange, PgWire.sync())).isEqualTo("S");
    assertThat(sendFromServer(exchange, Frame.ready('I'))).isEqualTo("Z");
  }

  @Test
  void nothingGoesOnUntilTheServerIsReady() throws Exception {
    sendFromClient(exchange, Frame.query("SELECT 1"));
    assertThat(exchange.awaitingReady()).isTrue();
    sendFromServer(exchange, Frame.complete("SELECT 1"), Frame.ready('T'));
    assertThat(exchange.awaitingReady()).isFalse();
    assertThat(exchange.betweenTransactions()).isFalse();
  }

  @Test
  void aBatchThatLostItsStatementIsRetryableIfNothingRan() throws Exception {
    executeOnce("a", "SELECT 1");
    assertThat(sendFromClient(exchange, PgWire.bind("a"), PgWire.execute(), PgWire.sync()))
        .isEqualTo("BES");
    sendFromServer(exchange, error("26000"), Frame.ready('I'));
    assertThat(exchange.retryableAfterLostStatement()).isTrue();
    exchange.rewind();
    exchange.beginBatch();
    assertThat(sendFromClient(exchange, PgWire.bind("a"), PgWire.execute(), PgWire.sync()))
        .isEqualTo("CPBES");
    assertThat(
            sendFromServer(
                exchange, of('3'), of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("2CZ");
  }

  @Test
  void aLostStatementInsideABlockIsReportedToTheClient() throws Exception {
    executeOnce("a", "SELECT 1");
    sendFromClient(exchange, Frame.query("BEGIN"));
    sendFromServer(exchange, Frame.complete("BEGIN"), Frame.ready('T'));
    exchange.beginBatch();
    sendFromClient(exchange, PgWire.bind("a"), PgWire.execute(), PgWire.sync());
    assertThat(sendFromServer(exchange, error("0A000"), Frame.ready('E'))).isEqualTo("EZ");
    assertThat(exchange.retryableAfterLostStatement()).isFalse();
  }

  @Test
  void theLeastRecentlyUsedStatementIsClosed() throws Exception {
    Exchange small = exchange(Set.of(), 1);
    assertThat(sendFromClient(small, use("a", "SELECT 1"))).isEqualTo("PBES");
    assertThat(
            sendFromServer(small, of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("12CZ");
    assertThat(sendFromClient(small, use("b", "SELECT 2"))).isEqualTo("CPBES");
    assertThat(
            sendFromServer(
                small, of('3'), of('1'), of('2'), Frame.complete("SELECT 1"), Frame.ready('I')))
        .isEqualTo("12CZ");
    assertThat(server.statementCount()).isEqualTo(1);
  }

  @Test
  void refusedStatementsAreAnsweredInOrder() throws Exception {
    Exchange strict = exchange(EnumSet.of(Pins.Kind.LISTEN), 10);
    assertThat(sendFromClient(strict, Frame.query("LISTEN a"))).isEqualTo("<EZ>");
    assertThat(strict.betweenTransactions()).isTrue();
    assertThat(
            sendFromClient(
                strict,
                PgWire.parse("", "SELECT 1"),
                PgWire.bind(""),
                PgWire.parse("l", "LISTEN a"),
                PgWire.bind("l"),
                PgWire.sync()))
        .isEqualTo("PBS");
    assertThat(sendFromServer(strict, of('1'), of('2'), Frame.ready('I'))).isEqualTo("12EZ");
  }

  @Test
  void aClientOverItsStatementLimitGetsAnError() throws Exception {
    for (String name : List.of("a", "b", "c")) {
      executeOnce(name, "SELECT '" + name + "'");
    }
    assertThat(sendFromClient(exchange, PgWire.parse("d", "SELECT 4"), PgWire.sync()))
        .isEqualTo("<E>S");
    assertThat(sendFromServer(exchange, Frame.ready('I'))).isEqualTo("Z");
  }

  @Test
  void copyDataIsForwardedOnlyDuringACopy() throws Exception {
    assertThat(sendFromClient(exchange, PgWire.copyData("stray"))).isEmpty();
    sendFromClient(exchange, Frame.query("COPY t FROM STDIN"));
    assertThat(sendFromServer(exchange, of('G'))).isEqualTo("G");
    assertThat(exchange.awaitingReady()).isFalse();
    assertThat(sendFromClient(exchange, PgWire.copyData("1"), of('c'))).isEqualTo("dc");
    assertThat(exchange.awaitingReady()).isTrue();
    assertThat(sendFromServer(exchange, Frame.complete("COPY 1"), Frame.ready('I')))
        .isEqualTo("CZ");
  }

  @Test
  void anAnswerThatNothingAskedForIsMalformed() throws Exception {
    assertThatThrownBy(() -> sendFromServer(exchange, Frame.complete("SELECT 1")))
        .isInstanceOf(Frame.Malformed.class);
    sendFromClient(exchange, use("a", "SELECT 1"));
    assertThatThrownBy(() -> sendFromServer(exchange, Frame.row(List.of("1"))))
        .hasMessageContaining("in answer to PARSE");
  }

  @Test
  void settingsTakeEffectOnceTheServerConfirmsThem() throws Exception {
    sendFromClient(exchange, Frame.query("SET a TO 1; SELECT bad"));
    sendFromServer(exchange, Frame.complete("SET"), error("42703"), Frame.ready('I'));
    assertThat(client.options()).isEmpty();
    exchange.beginBatch();
    sendFromClient(exchange, Frame.query("SET a TO 1"));
    assertThat(client.options()).isEmpty();
    sendFromServer(exchange, Frame.complete("SET"), Frame.ready('I'));
    assertThat(client.options()).containsEntry("a", "1").isEqualTo(server.options());
  }
}
