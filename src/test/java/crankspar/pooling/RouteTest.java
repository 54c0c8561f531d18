package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.Router;
import crankspar.TestSettings;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Which class a transaction asks the module for: nothing that is not known to be a read goes the
 * way of reads.
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

  private String kind(String sql, SessionState state) throws Route.Refused {
    return settings
        .classes()
        .get(route.way(mapped, sql, Sql.split(sql), state).requestClass())
        .name();
  }

  private String kind(String sql) throws Route.Refused {
    return kind(sql, SessionState.of(Map.of()));
  }

  @Test
  void readsAreMappedAndAllElseIsAWrite() throws Exception {
    assertThat(kind("SELECT 1")).isEqualTo("scoreboard");
    assertThat(kind("SELECT 1 FOR UPDATE")).isEqualTo("trade-claim");
    assertThat(kind("SELECT 1; SELECT 2")).isEqualTo("trade-claim");
    assertThat(kind("BEGIN READ ONLY")).isEqualTo("season-report");
    assertThat(kind("BEGIN")).isEqualTo("trade-claim");
    assertThat(kind("UPDATE t SET a = 1")).isEqualTo("trade-claim");
    SessionState reads = SessionState.of(Map.of("default_transaction_read_only", "on"));
    assertThat(kind("BEGIN", reads)).isEqualTo("season-report");
    assertThat(kind("BEGIN READ WRITE", reads)).isEqualTo("trade-claim");
  }

  @Test
  void aCommentSaysMore() throws Exception {
    Route.Way way =
        route.way(
            mapped,
            "/* c=my-roster,cluster=9,after=1000.5,d=100 */ SELECT 1",
            Sql.split("SELECT 1"),
            SessionState.of(Map.of()));
    assertThat(way).isEqualTo(new Route.Way(1, 9, 100, 1000.5, false));
    assertThat(kind("/* an ordinary comment */ SELECT 1")).isEqualTo("scoreboard");
    assertThat(kind("/* c=trade-claim */ SELECT 1")).isEqualTo("trade-claim");
    assertThatThrownBy(() -> kind("/* c=scoreboard */ INSERT 1"))
        .isInstanceOf(Route.Refused.class)
        .hasMessageContaining("is for reads");
    assertThatThrownBy(() -> kind("/* c=scoreboard */ BEGIN")).isInstanceOf(Route.Refused.class);
    assertThatThrownBy(() -> kind("/* c=nonsense */ SELECT 1"))
        .hasMessage("unknown class nonsense");
    assertThatThrownBy(() -> kind("/* c=scoreboard,d=0x1p3 */ SELECT 1"))
        .hasMessageContaining("no number");
  }

  @Test
  void aSessionsReadSeesItsOwnCommit() throws Exception {
    SessionState state = SessionState.of(Map.of());
    state.committedAt(2000);
    assertThat(route.way(mapped, "", Sql.split("SELECT 1"), state).mark()).isEqualTo(2000);
    assertThat(
            route.way(mapped, "/* c=my-roster,after=1000 */", Sql.split("SELECT 1"), state).mark())
        .isEqualTo(2000);
    assertThat(route.way(mapped, "", Sql.split("INSERT 1"), state).mark()).isNaN();
  }
}
