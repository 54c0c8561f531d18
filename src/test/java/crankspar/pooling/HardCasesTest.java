package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.Fault;
import crankspar.lab.PgWire;
import crankspar.lab.Recording.Executed;
import crankspar.lab.Recording.Fate;
import crankspar.lab.Stand;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Provokes the failures that the pooling front has to handle. */
class HardCasesTest extends HardCasesFixture {
  // ---- 1. Prepared statements.
  @Test
  void aStatementOutlivesItsConnectionsHandOver() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      prepare(a, "s", "SELECT 'of a', $1");
      prepare(b, "s", "SELECT 'of b', $1");
      for (int i = 0; i < 5; i++) {
        assertThat(use(a, "s", "1")).isEqualTo("2 D:of a|1 C:SELECT 1 Z:I");
        assertThat(use(b, "s", "2")).isEqualTo("2 D:of b|2 C:SELECT 1 Z:I");
      }
      assertThat(stand.recording.prepares.get()).isEqualTo(2);
      // The new server connection does not have the statement.
      stand.primary.cutAll();
      assertThat(use(a, "s", "3")).isEqualTo("2 D:of a|3 C:SELECT 1 Z:I");
      a.send(PgWire.parse("s", "SELECT 9"), PgWire.sync());
      assertThat(PgWire.brief(a.untilReady())).isEqualTo("E:42P05 Z:I");
    }
  }

  @Test
  void aStatementThatTheServerLostOrThatBecameStale() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire a = stand.wire()) {
      prepare(a, "s", "SELECT 'x', $1");
      assertThat(use(a, "s", "1")).startsWith("2 D");
      stand.primary.dropStatements();
      assertThat(use(a, "s", "2")).isEqualTo("2 D:x|2 C:SELECT 1 Z:I");
      stand.primary.stalePlans();
      assertThat(use(a, "s", "3")).isEqualTo("2 D:x|3 C:SELECT 1 Z:I");
      // Inside a block the client gets the error; the block is lost, but not the statement.
      assertThat(a.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
      stand.primary.dropStatements();
      assertThat(use(a, "s", "4")).isEqualTo("E:26000 Z:E");
      assertThat(a.ask("ROLLBACK")).isEqualTo("C:ROLLBACK Z:I");
      assertThat(use(a, "s", "5")).isEqualTo("2 D:x|5 C:SELECT 1 Z:I");
    }
  }

  // ---- 2. Connections lost during a trade-claim transaction.
  /**
   * Cuts the connection once, at the nth message of a type: before it, within it, or after it was
   * executed.
   */
  private static final class Cut implements Fault {
    final String when;
    final char type;
    final int nth;
    int seen;
    volatile boolean fired;

    Cut(String when, char type, int nth) {
      this.when = when;
      this.type = type;
      this.nth = nth;
    }

    @Override
    public Act received(int connection, char t, String text) {
      seen += t == type && !when.equals("after") ? 1 : 0;
      return fire("before", t);
    }

    @Override
    public Act answering(int connection, char t, String tag) {
      seen += t == type && when.equals("after") ? 1 : 0;
      return fire("after", t);
    }

    private Act fire(String at, char t) {
      if (fired || t != type || seen != nth || !when.equals(at)) {
        return Act.NONE;
      }
      fired = true;
      return Act.CUT;
    }

    @Override
    public int bytes(int connection, char t) {
      return when.equals("within") && !fired && t == type && seen == nth - 1 ? 7 : 0;
    }

    @Override
    public void cut() {
      fired = true;
    }
  }

  /**
   * Runs one claim transaction and returns the abbreviated replies; the last one contains {@code
   * END} if the connection was closed.
   */
  private static List<String> claim(Stand stand, String key, boolean extended) throws IOException {
    var heard = new ArrayList<String>();
    try (PgWire w = stand.wire()) {
      for (String sql :
          List.of(
              "/* c=trade-claim */ BEGIN", "INSERT INTO claims VALUES ('" + key + "')", "COMMIT")) {
        if (extended) {
          w.send(PgWire.parse("", sql), PgWire.bind(""), PgWire.execute(), PgWire.sync());
        } else {
          w.send(Frame.query(sql));
        }
        heard.add(PgWire.brief(w.untilReady()));
        if (heard.get(heard.size() - 1).contains("E:")) {
          break;
        }
      }
    }
    return heard;
  }

  @ParameterizedTest
  @CsvSource({"false,Q,3,Z", "true,E,3,Z"})
  void aClaimCutAnywhereIsNeverReplayedAndTellsWhetherItMayHaveRun(
      boolean extended, char type, int messages, char ready) throws Exception {
    try (var stand = new Stand(0, places(1))) {
      int claim = 0;
      for (String when : List.of("before", "within", "after")) {
        for (char at : extended ? new char[] {'P', 'B', 'E', 'S', 'Z'} : new char[] {'Q', 'Z'}) {
          for (int nth = 1; nth <= messages; nth++) {
            if (at == ready && !when.equals("after") || at == 'S' && when.equals("after")) {
              continue;
            }
            String key = "claim-" + ++claim;
            var cut = new Cut(when, at, nth);
            stand.primary.fault(cut);
            List<String> heard = claim(stand, key, extended);
            String last = heard.get(heard.size() - 1);
            until(() -> stand.recording.executed().stream().noneMatch(e -> e.fate == Fate.OPEN));
            List<Executed> ran =
                stand.recording.executed().stream().filter(e -> e.sql.contains(key + "'")).toList();
            long committed = ran.stream().filter(e -> e.fate == Fate.COMMITTED).count();
            String where = when + " " + at + nth + ": " + heard + " " + ran;
            assertThat(cut.fired).as(where).isTrue();
            assertThat(ran.size()).as("replayed, " + where).isLessThanOrEqualTo(1);
            if (heard.size() == 3 && last.contains("C:COMMIT")) {
              assertThat(committed).as(where).isEqualTo(1);
            } else if (last.contains("E:08006")) {
              assertThat(committed).as(where).isZero();
            } else {
              assertThat(last).as(where).contains("E:08007");
            }
            // If the COMMIT was not sent, the outcome is known: the claim had no effect.
            assertThat(last.contains("E:08007") && heard.size() < 3).as(where).isFalse();
          }
        }
      }
      assertThat(claim).isGreaterThan(8);
    }
  }

  @Test
  void aSingleClaimCutAfterItRanIsUnknownAndNotSentAgain() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire w = stand.wire()) {
      stand.primary.fault(new Cut("after", 'Q', 1));
      assertThat(w.ask("INSERT INTO claims VALUES (1)")).isEqualTo("E:08007 Z:I");
      assertThat(w.ask("INSERT INTO claims VALUES (2)")).isEqualTo("C:INSERT 0 1 Z:I");
      assertThat(stand.recording.begun(q -> q.contains("(1)"))).isEqualTo(1);
    }
  }

  @Test
  void aLongClaimCutBeforeItsLastByteIsSentElsewhere() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire w = stand.wire()) {
      w.ask("SELECT 1");
      stand.primary.fault(new Cut("within", 'Q', 1));
      assertThat(w.ask("INSERT INTO claims VALUES ('" + "x".repeat(900_000) + "')"))
          .isIn("C:INSERT 0 1 Z:I", "E:08007 Z:I");
      assertThat(stand.recording.begun(q -> q.startsWith("INSERT"))).isLessThanOrEqualTo(1);
    }
  }

  @Test
  void aReadThatIsCutIsAskedElsewhere() throws Exception {
    try (var stand = new Stand(2, "databases { db { select-class = season-report } }");
        PgWire w = stand.wire()) {
      var cut = new Cut("after", 'Q', 1);
      stand.replicas.forEach(r -> r.fault(cut));
      assertThat(w.ask("SELECT 5")).isEqualTo("T D:5 C:SELECT 1 Z:I");
      assertThat(cut.fired).isTrue();
    }
  }

  // ---- 3. Cancels.
  @Test
  void aLateCancelReachesNobodyElse() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      assertThat(a.ask("SELECT 1")).startsWith("T D:1");
      b.send(Frame.query("SELECT pg_sleep(0.3)"));
      until(() -> stand.recording.begun(q -> q.contains("pg_sleep")) == 1);
      try (PgWire c = new PgWire(stand.address())) {
        c.bytes(Frame.cancel(a.process, a.secret));
        assertThat(c.ends()).isTrue();
      }
      try (PgWire c = new PgWire(stand.address())) {
        c.bytes(Frame.cancel(b.process, b.secret + 1));
        assertThat(c.ends()).isTrue();
      }
      assertThat(PgWire.brief(b.untilReady())).isEqualTo("T D: C:SELECT 1 Z:I");
      assertThat(stand.recording.cancels()).isEmpty();
    }
  }

  @Test
  void aConnectionIsKeptApartWhileACancelForItsLastClientIsOut() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      ExecutorService other = Executors.newCachedThreadPool();
      try {
        for (int i = 0; i < 30; i++) {
          a.send(Frame.query("SELECT pg_sleep(0.002)"));
          Future<?> cancel =
              other.submit(
                  () -> {
                    try (PgWire c = new PgWire(stand.address())) {
                      c.bytes(Frame.cancel(a.process, a.secret));
                      return c.ends();
                    }
                  });
          b.send(Frame.query("SELECT pg_sleep(0.004)"));
          assertThat(PgWire.brief(a.untilReady())).isIn("T D: C:SELECT 1 Z:I", "E:57014 Z:I");
          assertThat(PgWire.brief(b.untilReady())).isEqualTo("T D: C:SELECT 1 Z:I");
          cancel.get(5, TimeUnit.SECONDS);
        }
      } finally {
        other.shutdownNow();
      }
    }
  }

  @Test
  void aCancelOfOneWhoWaitsEndsItsWait() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      assertThat(a.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
      b.send(Frame.query("SELECT 2"));
      PgWire admin = PgWire.to(stand.address(), "admin", "crankspar");
      until(
          () -> {
            try {
              return admin.ask("SHOW clients").contains("waiting");
            } catch (IOException e) {
              throw new IllegalStateException(e);
            }
          });
      try (PgWire c = new PgWire(stand.address())) {
        c.bytes(Frame.cancel(b.process, b.secret));
      }
      assertThat(PgWire.brief(b.untilReady())).isEqualTo("E:57014 Z:I");
      assertThat(a.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      assertThat(b.ask("SELECT 3")).isEqualTo("T D:3 C:SELECT 1 Z:I");
    }
  }
}
