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
}
