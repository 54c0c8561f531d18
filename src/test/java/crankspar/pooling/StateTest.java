package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Tests the state that is carried between connections and the statements that restore it:
 * SessionState, ServerState, Carry and Pins.
 */
class StateTest {
  private static void apply(SessionState s, String... statements) {
    for (String sql : statements) {
      Sql.Statement one = Sql.split(sql).get(0);
      s.apply(one, one.kind() == Sql.Kind.COMMIT ? "COMMIT" : "ROLLBACK");
    }
  }

  private static SessionState state(String... startup) {
    var map = new HashMap<String, String>();
    for (int i = 0; i < startup.length; i += 2) {
      map.put(startup[i], startup[i + 1]);
    }
    return SessionState.of(map);
  }

  @Test
  void settingsFollowTransactions() {
    SessionState s = state();
    apply(s, "SET a TO 1");
    s.ready('I');
    apply(s, "BEGIN", "SET a TO 2", "SET LOCAL a TO 3");
    assertThat(s.options()).containsEntry("a", "2");
    apply(s, "ROLLBACK");
    assertThat(s.options()).containsEntry("a", "1");
    apply(
        s,
        "BEGIN",
        "SET a TO 4",
        "SAVEPOINT x",
        "SET a TO 5",
        "SAVEPOINT y",
        "SET b TO 6",
        "ROLLBACK TO x");
    assertThat(s.options()).containsEntry("a", "4").doesNotContainKey("b");
    apply(s, "SET a TO 7", "RELEASE x", "COMMIT");
    s.ready('I');
    assertThat(s.options()).containsEntry("a", "7");
  }

  @Test
  void aFailedImplicitTransactionChangesNothing() {
    SessionState s = state();
    apply(s, "SET a TO 1");
    s.statementFailed(); // "SET a TO 1; SELECT nonsense" as one simple query
    s.ready('I');
    assertThat(s.options()).isEmpty();
    apply(s, "SET a TO 1", "BEGIN", "SET a TO 2");
    s.statementFailed();
    s.ready('E');
    s.apply(Sql.split("COMMIT").get(0), "ROLLBACK"); // a COMMIT of a failed block
    s.ready('I');
    assertThat(s.options()).doesNotContainEntry("a", "2");
  }

  @Test
  void resetRestoresStartupValues() {
    SessionState s =
        state(
            "TimeZone",
            "America/Vancouver",
            "options",
            "-c work_mem=8MB --search_path=a\\ b",
            "user",
            "u");
    assertThat(s.options())
        .containsEntry("timezone", "'America/Vancouver'")
        .containsEntry("work_mem", "'8MB'")
        .containsEntry("search_path", "'a b'")
        .hasSize(3);
    apply(s, "SET TIME ZONE 'UTC'", "SET x.y TO 1");
    apply(s, "RESET timezone", "RESET x.y");
    assertThat(s.options())
        .containsEntry("timezone", "'America/Vancouver'")
        .doesNotContainKey("x.y");
    apply(s, "SET work_mem TO '1MB'", "RESET ALL");
    assertThat(s.options()).containsEntry("work_mem", "'8MB'");
  }

  @Test
  void statementsSurviveRollbackUntilDiscard() {
    SessionState s = state();
    s.prepare("a", Prepared.of("SELECT 1", new byte[2]));
    apply(s, "BEGIN", "PREPARE b AS SELECT 2", "ROLLBACK");
    assertThat(s.statementCount()).isEqualTo(2);
    assertThat(s.preparedBytes()).isPositive();
    apply(s, "DEALLOCATE a");
    assertThat(s.prepared("a")).isNull();
    apply(s, "DISCARD ALL");
    assertThat(s.statementCount()).isZero();
    assertThat(s.preparedBytes()).isZero();
  }

  @Test
  void carryContainsOnlyDifferences() {
    SessionState client = state("TimeZone", "UTC");
    var server = new ServerState();
    assertThat(StateDiff.query(server, client)).isEqualTo("SET TIME ZONE 'UTC'");
    server.replaceSession(client.options(), client.sqlPrepared());
    assertThat(StateDiff.query(server, client)).isNull();
    assertThat(StateDiff.distance(server, client)).isZero();
    apply(client, "SET search_path TO a, b", "SET ROLE r", "PREPARE p AS SELECT 1");
    client.ready('I');
    assertThat(StateDiff.query(server, client))
        .isEqualTo("SET search_path TO a, b; SET role TO r; PREPARE p AS SELECT 1");
    server.replaceSession(client.options(), client.sqlPrepared());
    SessionState other = state();
    apply(other, "PREPARE p AS SELECT 2");
    assertThat(StateDiff.query(server, other))
        .isEqualTo(
            "RESET role; RESET search_path; RESET timezone; DEALLOCATE \"p\"; PREPARE p AS SELECT 2");
  }

  /** Guards against sharing a statement between sessions whose options are not known. */
  @Test
  void unknownSettingsEqualNoOthers() {
    SessionState one = state("TimeZone", "UTC");
    SessionState other = state("TimeZone", "UTC");
    assertThat(statementOptions(one)).isEqualTo(statementOptions(other));
    for (String sql :
        List.of(
            "SELECT set_config(x, y, false)",
            "SELECT set_config('a', '1', true), set_config('b', '2', true)",
            "SET LOCAL timezone TO 'UTC'",
            "RESET timezone")) {
      one = state("TimeZone", "UTC");
      other = state("TimeZone", "UTC");
      apply(one, sql);
      apply(other, sql);
      assertThat(statementOptions(one)).as(sql).isNotEqualTo(statementOptions(other));
    }
    other.ready('I');
    assertThat(statementOptions(other)).isEqualTo(statementOptions(state("TimeZone", "UTC")));
    apply(other, "BEGIN", "SET LOCAL timezone TO 'Asia/Tokyo'");
    assertThat(statementOptions(other))
        .isEqualTo(statementOptions(state("TimeZone", "Asia/Tokyo")));
  }

  private static StatementOptions statementOptions(SessionState session) {
    return session.sessionOptions().statementOptions();
  }

  /** Guards against unbounded heap use by options that only prepared statements still hold. */
  @Test
  void statementOptionsCountTowardsTheClientsMemoryBound() {
    SessionState s = state();
    apply(s, "SET x.y TO '" + "z".repeat(10_000) + "'");
    s.prepare("a", Prepared.of("SELECT 'a'", new byte[2]).withOptions(statementOptions(s)));
    assertThat(s.preparedBytes()).isBetween(10_000, 10_200);
    apply(s, "PREPARE b AS SELECT 'b'");
    assertThat(s.preparedBytes()).isBetween(20_000, 20_300);
    apply(s, "DEALLOCATE b", "DEALLOCATE a");
    assertThat(s.preparedBytes()).isZero();
  }

  @Test
  void optionsChangeAroundAParseRestoresSessionAndLocalOptions() {
    SessionState client = state("TimeZone", "UTC", "application_name", "a");
    StatementOptions then = statementOptions(client);
    apply(client, "SET timezone TO 'Asia/Tokyo'", "SET search_path TO b");
    client.ready('I');
    apply(client, "BEGIN", "SET LOCAL timezone TO 'America/Vancouver'");
    assertThat(OptionsChange.around(then, client.sessionOptions()))
        .isEqualTo(
            new OptionsChange(
                List.of("RESET search_path", "SET TIME ZONE 'UTC'"),
                List.of(
                    "SET search_path TO b",
                    "SET TIME ZONE 'Asia/Tokyo'",
                    "SET LOCAL TIME ZONE 'America/Vancouver'")));
  }

  @Test
  void leastRecentlyUsedStatementIsEvicted() {
    var server = new ServerState();
    Prepared a = Prepared.of("SELECT 'a'", new byte[2]);
    Prepared b = Prepared.of("SELECT 'b'", new byte[2]);
    Prepared c = Prepared.of("SELECT 'c'", new byte[2]);
    server.add(a);
    server.add(b);
    assertThat(server.has(a)).isTrue(); // marks a as used, so that b is the older one
    assertThat(StateDiff.prepareSteps(server, c, 2))
        .isEqualTo(new StateDiff.PrepareSteps(List.of(b), true));
    assertThat(StateDiff.prepareSteps(server, a, 2).parse()).isFalse();
    assertThat(Prepared.of("SELECT 'a'", new byte[2])).isSameAs(a);
    assertThat(a.name()).startsWith(Prepared.NAME_PREFIX).isNotEqualTo(b.name()).hasSize(35);
  }

  @Test
  void pinsAreReleased() {
    Pins p = Pins.NONE;
    for (String sql :
        List.of(
            "LISTEN a",
            "LISTEN b",
            "CREATE TEMP TABLE t (x int)",
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            "SELECT pg_advisory_lock(1)",
            "SELECT pg_advisory_lock(1)",
            "SELECT set_config(x, y, false)")) {
      p = p.apply(Sql.split(sql).get(0));
    }
    assertThat(p.kinds())
        .containsExactlyInAnyOrder(
            Pins.Kind.LISTEN,
            Pins.Kind.TEMPORARY,
            Pins.Kind.HOLD,
            Pins.Kind.LOCK,
            Pins.Kind.SETTING);
    for (String sql :
        List.of("UNLISTEN a", "DROP TABLE t", "CLOSE c", "SELECT pg_advisory_unlock(1)")) {
      p = p.apply(Sql.split(sql).get(0));
    }
    assertThat(p.kinds())
        .containsExactlyInAnyOrder(Pins.Kind.LISTEN, Pins.Kind.LOCK, Pins.Kind.SETTING);
    p = p.apply(Sql.split("SELECT pg_advisory_unlock(1)").get(0));
    assertThat(p.kinds()).doesNotContain(Pins.Kind.LOCK);
    assertThat(p.apply(Sql.split("DISCARD ALL").get(0)).isEmpty()).isTrue();
    assertThat(
            Pins.NONE
                .apply(Sql.split("LOAD 'x'").get(0))
                .apply(Sql.split("DISCARD ALL").get(0))
                .isEmpty())
        .isFalse();
  }

  @Test
  void rollbackReleasesListenButNotSessionLocks() {
    SessionState s = state();
    apply(s, "BEGIN", "LISTEN a", "SELECT pg_advisory_lock(1)", "ROLLBACK");
    assertThat(s.pins().kinds()).containsExactly(Pins.Kind.LOCK);
  }

  @Test
  void lastCommitPositionNeverDecreases() {
    SessionState s = state();
    s.committedAt(100);
    s.committedAt(50);
    assertThat(s.lastCommitPosition()).isEqualTo(100);
  }

  /**
   * Compares with a model that copies whole maps, over random sequences of SET, RESET, savepoints
   * and transaction ends.
   */
  @Property(seed = "20261201", tries = 500)
  void settingsMatchAModelOfCopiedMaps(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int steps) {
    var random = new Random(seed);
    SessionState s = state();
    Map<String, String> committed = new HashMap<>();
    Map<String, String> now = new HashMap<>();
    var names = new ArrayList<String>();
    var copies = new ArrayList<Map<String, String>>();
    boolean block = false;
    for (int i = 0; i < steps; i++) {
      String option = "o" + random.nextInt(3);
      int what = random.nextInt(8);
      if (what < 3) {
        apply(s, "SET " + option + " TO " + i);
        now.put(option, Integer.toString(i));
      } else if (what == 3) {
        apply(s, "RESET " + option);
        now.remove(option);
      } else if (what == 4 && !block) {
        apply(s, "BEGIN");
        block = true;
      } else if (what == 5 && block) {
        String name = "s" + random.nextInt(3);
        apply(s, "SAVEPOINT " + name);
        names.add(name);
        copies.add(new HashMap<>(now));
      } else if (what == 6 && !names.isEmpty()) {
        String name = names.get(random.nextInt(names.size()));
        int at = names.lastIndexOf(name);
        boolean release = random.nextBoolean();
        apply(s, (release ? "RELEASE " : "ROLLBACK TO ") + name);
        now = release ? now : new HashMap<>(copies.get(at));
        int keep = release ? at : at + 1;
        names.subList(keep, names.size()).clear();
        copies.subList(keep, copies.size()).clear();
      } else if (what == 7 && block) {
        boolean commit = random.nextBoolean();
        apply(s, commit ? "COMMIT" : "ROLLBACK");
        now = commit ? now : new HashMap<>(committed);
        block = false;
        names.clear();
        copies.clear();
      }
      s.ready(block ? 'T' : 'I');
      committed = block ? committed : new HashMap<>(now);
      assertThat(new HashMap<>(s.options())).isEqualTo(now);
    }
  }
}
