package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Advisory locks of a session, of which a connection may hold several. */
class ManyLocksTest {
  /** Guards against locks that one statement takes, of which the release of one frees all. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "SELECT pg_advisory_lock(1), pg_advisory_lock(2)",
        "SELECT pg_advisory_lock(1) FROM generate_series(1, 3)",
        "SELECT pg_advisory_lock(g) FROM t",
        "SELECT 1, pg_advisory_lock(1)",
        "SELECT pg_advisory_lock(f(1))"
      })
  void severalLocksOfOneStatementAreHeldUntilAllAreReleased(String take) throws Exception {
    Pins pins = Pins.NONE;
    pins = pins.apply(Sql.split(take).get(0));
    pins = pins.apply(Sql.split("SELECT pg_advisory_unlock(1)").get(0));
    assertThat(pins.isEmpty()).as("one is released").isFalse();
    pins = pins.apply(Sql.split("SELECT pg_advisory_unlock_all()").get(0));
    assertThat(pins.isEmpty()).isTrue();
  }

  /** Guards against a lock, or a setting, that stays on a connection for its next client. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "SELECT set_config('a.b', 'c', false), pg_advisory_lock(1)",
        "SELECT pg_advisory_lock(1), set_config('a.b', 'c', false)",
        "SELECT set_config('a.b', 'c', true), pg_try_advisory_lock_shared(1)",
        "SELECT set_config('a.b', 'c', false) INTO TEMP t",
        "SELECT pg_advisory_lock(1) INTO TEMP t"
      })
  void stateOfSeveralKindsIsHeldUntilTheConnectionEnds(String take) throws Exception {
    Pins pins = Pins.NONE.apply(Sql.split(take).get(0));
    assertThat(Pins.afterRollback(Pins.NONE, pins).isEmpty()).as("rolled back").isFalse();
    pins = pins.apply(Sql.split("SELECT pg_advisory_unlock_all()").get(0));
    pins = pins.apply(Sql.split("DROP TABLE t").get(0));
    assertThat(pins.isEmpty()).as("what each kind alone is released by").isFalse();
  }
}
