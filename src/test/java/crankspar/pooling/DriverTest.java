package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.lab.Stand;
import java.io.StringReader;
import java.io.StringWriter;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.postgresql.PGConnection;

/** The PostgreSQL JDBC driver through the pooler, in session and transaction mode. */
class DriverTest {
  private static String database(String mode, int places) {
    return "databases { db { mode = " + mode + ", places { most = " + places + " } } }";
  }

  private static String one(Connection c, String sql) throws SQLException {
    try (Statement s = c.createStatement();
        ResultSet r = s.executeQuery(sql)) {
      r.next();
      return r.getString(1);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"session", "transaction"})
  void preparedFromTheFirstExecutionOn(String mode) throws Exception {
    try (var stand = new Stand(0, database(mode, 4))) {
      var clients = new ArrayList<Connection>();
      for (int i = 0; i < 4; i++) {
        clients.add(stand.jdbc("prepareThreshold=1"));
      }
      for (int round = 0; round < 20; round++) {
        for (Connection c : clients) {
          try (PreparedStatement p = c.prepareStatement("SELECT ? , 'fixed'")) {
            p.setInt(1, round);
            ResultSet r = p.executeQuery();
            assertThat(r.next()).isTrue();
            assertThat(r.getInt(1)).isEqualTo(round);
          }
        }
      }
      if (mode.equals("transaction")) {
        assertThat(stand.recording.prepares.get()).isLessThanOrEqualTo(12);
      }
      for (Connection c : clients) {
        c.close();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"session", "transaction"})
  void batchesTransactionsAndSavepoints(String mode) throws Exception {
    try (var stand = new Stand(0, database(mode, 2));
        Connection c = stand.jdbc("prepareThreshold=1")) {
      c.setAutoCommit(false);
      try (PreparedStatement p = c.prepareStatement("INSERT INTO claims VALUES (?)")) {
        for (int i = 0; i < 50; i++) {
          p.setInt(1, i);
          p.addBatch();
        }
        assertThat(p.executeBatch()).hasSize(50).containsOnly(1);
      }
      c.commit();
      var savepoint = c.setSavepoint("a");
      try (Statement s = c.createStatement()) {
        assertThatThrownBy(() -> s.execute("SELECT raise('23505')")).hasMessageContaining("raised");
        c.rollback(savepoint);
        s.execute("INSERT INTO claims VALUES (50)");
      }
      c.commit();
      try (Statement s = c.createStatement()) {
        s.execute("INSERT INTO claims VALUES (51)");
      }
      c.rollback();
      assertThat(stand.recording.committed(q -> q.startsWith("INSERT"))).isEqualTo(51);
      assertThat(stand.recording.begun(q -> q.startsWith("INSERT"))).isEqualTo(52);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"session", "transaction"})
  void cursorsWithAFetchSize(String mode) throws Exception {
    try (var stand = new Stand(0, database(mode, 2));
        Connection c = stand.jdbc("")) {
      c.setAutoCommit(false);
      try (PreparedStatement p = c.prepareStatement("SELECT g FROM generate_series(1,1000)")) {
        p.setFetchSize(64);
        ResultSet r = p.executeQuery();
        int n = 0;
        while (r.next()) {
          assertThat(r.getInt(1)).isEqualTo(++n);
        }
        assertThat(n).isEqualTo(1000);
      }
      c.commit();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"session", "transaction"})
  void copyBothWays(String mode) throws Exception {
    try (var stand = new Stand(0, database(mode, 2));
        Connection c = stand.jdbc("")) {
      var copy = c.unwrap(PGConnection.class).getCopyAPI();
      assertThat(copy.copyIn("COPY scores FROM STDIN", new StringReader("1\n2\n3\n"))).isPositive();
      var out = new StringWriter();
      copy.copyOut("COPY (SELECT g FROM generate_series(1,20000)) TO STDOUT", out);
      assertThat(out.toString().lines().count()).isEqualTo(20_000);
      assertThat(one(c, "SELECT 7")).isEqualTo("7");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"session", "transaction"})
  void timeZoneAndSearchPathAreKept(String mode) throws Exception {
    try (var stand = new Stand(0, database(mode, 3));
        Connection a = stand.jdbc("");
        Connection b = stand.jdbc("currentSchema=scores")) {
      a.createStatement().execute("SET TIME ZONE 'America/Vancouver'");
      a.createStatement().execute("SET search_path TO rosters, public");
      b.createStatement().execute("SET TIME ZONE 'UTC'");
      for (int i = 0; i < 10; i++) {
        assertThat(one(a, "SELECT current_setting('TimeZone')")).isEqualTo("America/Vancouver");
        assertThat(one(b, "SELECT current_setting('search_path')")).isEqualTo("scores");
        assertThat(one(a, "SELECT current_setting('search_path')")).isEqualTo("rosters, public");
        assertThat(one(b, "SELECT current_setting('TimeZone')")).isEqualTo("UTC");
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"session", "transaction"})
  void aCancelStopsItsOwnStatement(String mode) throws Exception {
    try (var stand = new Stand(0, database(mode, 2));
        Connection c = stand.jdbc("")) {
      var other = Executors.newSingleThreadExecutor();
      try (Statement s = c.createStatement()) {
        var running = other.submit(() -> s.executeQuery("SELECT pg_sleep(2)"));
        while (stand.recording.begun(q -> q.contains("pg_sleep")) == 0) {
          Thread.onSpinWait();
        }
        s.cancel();
        assertThatThrownBy(() -> running.get(5, TimeUnit.SECONDS))
            .hasMessageContaining("canceling statement");
      } finally {
        other.shutdownNow();
      }
      assertThat(one(c, "SELECT 1")).isEqualTo("1");
      assertThat(stand.recording.cancels()).hasSize(1).allMatch(x -> x.running() != null);
    }
  }

  @Test
  void readOnlyTransactionsReachReplicas() throws Exception {
    try (var stand =
            new Stand(
                2,
                "databases { db { read-only-class = season-report, select-class = my-roster } }");
        Connection c = stand.jdbc("")) {
      c.setReadOnly(true);
      c.setAutoCommit(false);
      for (int i = 0; i < 5; i++) {
        assertThat(one(c, "SELECT 'report'")).isEqualTo("report");
        c.commit();
      }
      c.setReadOnly(false);
      c.setAutoCommit(true);
      c.createStatement().execute("INSERT INTO claims VALUES (1)");
      List<String> servers =
          stand.recording.executed().stream()
              .filter(e -> e.sql.contains("report"))
              .map(e -> e.server)
              .toList();
      assertThat(servers).hasSize(5).allMatch(s -> s.startsWith("replica"));
      assertThat(
              stand.recording.executed().stream()
                  .filter(e -> e.sql.startsWith("INSERT"))
                  .map(e -> e.server))
          .containsExactly("primary");
    }
  }
}
