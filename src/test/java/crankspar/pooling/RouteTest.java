package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.Router;
import crankspar.TestSettings;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests which request class a transaction gets: a statement not known to be a read must not be
 * routed as one.
 */
class RouteTest {
  private final Router.Settings settings = TestSettings.platform();
  private final Route route = new Route(settings);
  private final Setup.Database mapped =
      new Setup.Database(
          "db",
          "db",
          Setup.Mode.TRANSACTION,
          3,
          "trade-claim",
          "season-report",
          "scoreboard",
          Setup.PoolLimits.DEFAULT,
          Map.of(),
          true);

  private String requestClass(String sql, SessionState state) throws Route.Refused {
    return settings
        .classes()
        .get(route.decide(mapped, sql, Sql.split(sql), state).requestClass())
        .name();
  }

  private String requestClass(String sql) throws Route.Refused {
    return requestClass(sql, SessionState.of(Map.of()));
  }

  @Test
  void readsAreMappedAndEverythingElseIsAWrite() throws Exception {
    assertThat(requestClass("SELECT 1")).isEqualTo("scoreboard");
    assertThat(requestClass("SELECT 1 FOR UPDATE")).isEqualTo("trade-claim");
    assertThat(requestClass("SELECT 1; SELECT 2")).isEqualTo("trade-claim");
    assertThat(requestClass("BEGIN READ ONLY")).isEqualTo("season-report");
    assertThat(requestClass("BEGIN")).isEqualTo("trade-claim");
    assertThat(requestClass("UPDATE t SET a = 1")).isEqualTo("trade-claim");
    SessionState reads = SessionState.of(Map.of("default_transaction_read_only", "on"));
    assertThat(requestClass("BEGIN", reads)).isEqualTo("season-report");
    assertThat(requestClass("BEGIN READ WRITE", reads)).isEqualTo("trade-claim");
  }

  @Test
  void leadingCommentOverridesTheMapping() throws Exception {
    Route.RoutingDecision decision =
        route.decide(
            mapped,
            "/* c=my-roster,cluster=9,after=1000.5,d=100 */ SELECT 1",
            Sql.split("SELECT 1"),
            SessionState.of(Map.of()));
    assertThat(decision).isEqualTo(new Route.RoutingDecision(1, 9, 100, 1000.5, false));
    assertThat(requestClass("/* an ordinary comment */ SELECT 1")).isEqualTo("scoreboard");
    assertThat(requestClass("/* c=trade-claim */ SELECT 1")).isEqualTo("trade-claim");
    assertThatThrownBy(() -> requestClass("/* c=scoreboard */ INSERT 1"))
        .isInstanceOf(Route.Refused.class)
        .hasMessageContaining("is for reads");
    assertThatThrownBy(() -> requestClass("/* c=scoreboard */ BEGIN"))
        .isInstanceOf(Route.Refused.class);
    assertThatThrownBy(() -> requestClass("/* c=nonsense */ SELECT 1"))
        .hasMessage("unknown class nonsense");
    assertThatThrownBy(() -> requestClass("/* c=scoreboard,d=0x1p3 */ SELECT 1"))
        .hasMessageContaining("no number");
  }

  @Test
  void aSessionsReadSeesItsOwnCommit() throws Exception {
    SessionState state = SessionState.of(Map.of());
    state.committedAt(2000);
    assertThat(route.decide(mapped, "", Sql.split("SELECT 1"), state).minPosition())
        .isEqualTo(2000);
    assertThat(
            route
                .decide(mapped, "/* c=my-roster,after=1000 */", Sql.split("SELECT 1"), state)
                .minPosition())
        .isEqualTo(2000);
    assertThat(route.decide(mapped, "", Sql.split("INSERT 1"), state).minPosition()).isNaN();
  }
}
