package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Recording.Executed;
import crankspar.lab.Stand;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Many clients on few server connections: disconnects, drains, pipelines and fair queueing. */
class SharedConnectionsTest extends HardCasesFixture {
  // ---- 4. Clients that disconnect.
  @Test
  void workOfADisconnectedClientIsRolledBack() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire next = stand.wire()) {
      PgWire a = stand.wire();
      a.ask("BEGIN");
      a.ask("SET TIME ZONE 'Asia/Tokyo'");
      a.ask("INSERT INTO claims VALUES (1)");
      a.close();
      assertThat(next.ask("SELECT current_setting('TimeZone')"))
          .isEqualTo("T D:UTC C:SELECT 1 Z:I");
      assertThat(stand.recording.committed(q -> q.startsWith("INSERT"))).isZero();

      PgWire copy = stand.wire();
      copy.send(Frame.query("COPY claims FROM STDIN"));
      assertThat(copy.next().type()).isEqualTo('G');
      copy.send(PgWire.copyData("1\n"));
      copy.close();
      assertThat(next.ask("SELECT 2")).isEqualTo("T D:2 C:SELECT 1 Z:I");
      assertThat(stand.recording.committed(q -> q.startsWith("COPY"))).isZero();

      PgWire half = stand.wire();
      half.ask("BEGIN");
      half.ask("INSERT INTO claims VALUES (2)");
      byte[] bytes = Frame.query("COMMIT").wire();
      half.bytes(java.util.Arrays.copyOf(bytes, bytes.length - 1));
      half.close();
      assertThat(next.ask("SELECT 3")).isEqualTo("T D:3 C:SELECT 1 Z:I");
      assertThat(stand.recording.committed(q -> q.startsWith("INSERT"))).isZero();
    }
  }

  @Test
  void aSessionConnectionIsResetBeforeReuse() throws Exception {
    try (var stand = new Stand(0, "databases { db { mode = session, places { most = 1 } } }")) {
      try (PgWire a = stand.wire()) {
        a.ask("SET TIME ZONE 'Asia/Tokyo'");
        a.ask("LISTEN news");
        a.ask("PREPARE p AS SELECT 1");
        prepare(a, "s", "SELECT 1");
      }
      try (PgWire b = stand.wire()) {
        assertThat(b.ask("SELECT current_setting('TimeZone')")).isEqualTo("T D:UTC C:SELECT 1 Z:I");
        assertThat(b.ask("EXECUTE p")).isEqualTo("E:26000 Z:I");
        assertThat(b.ask("NOTIFY news")).isEqualTo("C:NOTIFY Z:I");
        prepare(b, "s", "SELECT 2");
        assertThat(use(b, "s")).isEqualTo("2 D:2 C:SELECT 1 Z:I");
      }
    }
  }

  // ---- 5. Servers that fail or drain, errors and long pipelines.
  @Test
  void aServerFailsWith500ClientsOn20Connections() throws Exception {
    try (var stand = new Stand(0, places(20), s -> s.work(1, 8))) {
      var clients = new ArrayList<PgWire>();
      for (int i = 0; i < 500; i++) {
        clients.add(stand.wire());
      }
      ExecutorService pool = Executors.newFixedThreadPool(50);
      var outcomes = new ArrayList<Future<String>>();
      var begun = new CountDownLatch(60);
      for (int i = 0; i < 500; i++) {
        PgWire w = clients.get(i);
        String key = "k" + i + "k";
        outcomes.add(
            pool.submit(
                () -> {
                  begun.countDown();
                  return w.ask("/* c=trade-claim */ INSERT INTO claims VALUES ('" + key + "')");
                }));
      }
      begun.await();
      stand.primary.cutAll();
      int unknown = 0;
      for (int i = 0; i < 500; i++) {
        String key = "k" + i + "k";
        String heard = outcomes.get(i).get(20, TimeUnit.SECONDS);
        long ran = stand.recording.begun(q -> q.contains(key));
        assertThat(ran).as(heard).isLessThanOrEqualTo(1);
        assertThat(heard).isIn("C:INSERT 0 1 Z:I", "E:08007 Z:I", "E:53300 Z:I", "E:08006 Z:I");
        if (heard.startsWith("C")) {
          assertThat(stand.recording.committed(q -> q.contains(key))).isEqualTo(1);
        } else if (!heard.contains("08007")) {
          assertThat(stand.recording.committed(q -> q.contains(key))).isZero();
        }
        unknown += heard.contains("08007") ? 1 : 0;
      }
      assertThat(unknown).isLessThanOrEqualTo(20);
      for (PgWire w : clients) {
        assertThat(w.ask("SELECT 1")).startsWith("T D:1");
        w.close();
      }
      pool.shutdownNow();
    }
  }

  @Test
  void anOpenTransactionMayFinishWithinTheDrainTimeout() throws Exception {
    try (var stand =
            new Stand(
                1,
                "limits { drain = 600ms }\n databases { db { class = season-report, read-only-class = season-report } }");
        PgWire w = stand.wire()) {
      assertThat(w.ask("BEGIN READ ONLY")).isEqualTo("C:BEGIN Z:T");
      String server = stand.recording.executed().get(0).server;
      String id = server.equals("primary") ? "p" : "r0";
      assertThat(call(stand, "/-/league-databases/" + id + "/disable")).contains("200");
      assertThat(w.ask("SELECT 1")).isEqualTo("T D:1 C:SELECT 1 Z:T");
      assertThat(w.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      assertThat(w.ask("BEGIN READ ONLY")).isEqualTo("C:BEGIN Z:T");
      assertThat(w.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      List<Executed> all = stand.recording.executed();
      assertThat(all.get(all.size() - 1).server).isNotEqualTo(server);
      // A transaction that exceeds the drain timeout is ended.
      assertThat(w.ask("BEGIN READ ONLY")).isEqualTo("C:BEGIN Z:T");
      String now = stand.recording.executed().get(stand.recording.executed().size() - 1).server;
      call(stand, "/-/league-databases/" + (now.equals("primary") ? "p" : "r0") + "/disable");
      assertThat(PgWire.brief(List.of(w.next()))).isEqualTo("E:57P01");
      assertThat(w.ends()).isTrue();
    }
  }

  @Test
  void aServerDrainsWith500ClientsOn20Connections() throws Exception {
    try (var stand =
        new Stand(
            1,
            "databases { db { class = season-report, places { most = 20 } } }",
            s -> s.work(1, 8))) {
      var clients = new ArrayList<PgWire>();
      for (int i = 0; i < 500; i++) {
        clients.add(stand.wire());
      }
      for (PgWire w : clients.subList(0, 250)) {
        w.send(Frame.query("SELECT 1"));
      }
      assertThat(call(stand, "/-/league-databases/r0/disable")).contains("200");
      Thread.sleep(250);
      for (PgWire w : clients.subList(0, 250)) {
        assertThat(PgWire.brief(w.untilReady())).isEqualTo("T D:1 C:SELECT 1 Z:I");
      }
      stand.recording.clear();
      for (PgWire w : clients) {
        assertThat(w.ask("SELECT 2")).isEqualTo("T D:2 C:SELECT 1 Z:I");
        w.close();
      }
      assertThat(stand.recording.executed()).hasSize(500).allMatch(e -> e.server.equals("primary"));
    }
  }

  @Test
  void thePrimaryChangesWithinATransaction() throws Exception {
    try (var stand = new Stand(1, places(5));
        PgWire w = stand.wire()) {
      assertThat(w.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
      stand.primary.role(false);
      stand.replicas.get(0).role(true);
      assertThat(w.ask("INSERT INTO claims VALUES (1)")).isEqualTo("E:25006 Z:E");
      assertThat(w.ask("ROLLBACK")).isEqualTo("C:ROLLBACK Z:I");
      assertThat(w.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
      assertThat(w.ask("INSERT INTO claims VALUES (2)")).isEqualTo("C:INSERT 0 1 Z:T");
      assertThat(w.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      assertThat(w.ask("INSERT INTO claims VALUES (3)")).isEqualTo("C:INSERT 0 1 Z:I");
      assertThat(
              stand.recording.executed().stream()
                  .filter(e -> e.sql.contains("(2)") || e.sql.contains("(3)"))
                  .map(e -> e.server))
          .containsOnly("replica-0");
    }
  }

  @Test
  void aSetIsUndoneWithItsTransaction() throws Exception {
    try (var stand = new Stand(0, places(2));
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      a.ask("SET TIME ZONE 'America/Vancouver'");
      a.ask("BEGIN");
      a.ask("SET TIME ZONE 'Asia/Tokyo'");
      a.ask("SAVEPOINT x");
      a.ask("SET statement_timeout TO 5");
      a.ask("ROLLBACK TO x");
      assertThat(a.ask("SELECT current_setting('TimeZone'), current_setting('statement_timeout')"))
          .startsWith("T D:Asia/Tokyo|0");
      a.ask("ROLLBACK");
      assertThat(b.ask("SELECT current_setting('TimeZone')")).startsWith("T D:UTC");
      assertThat(a.ask("SELECT current_setting('TimeZone')")).startsWith("T D:America/Vancouver");
      a.ask("RESET ALL");
      assertThat(a.ask("SHOW timezone")).startsWith("T D:UTC");
    }
  }

  @Test
  void anErrorInAPipelineSkipsToTheNextSync() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire w = stand.wire()) {
      w.send(
          PgWire.parse("", "SELECT 1"),
          PgWire.bind(""),
          PgWire.execute(),
          PgWire.parse("", "SELECT raise('22012')"),
          PgWire.bind(""),
          PgWire.execute(),
          PgWire.parse("lost", "SELECT 3"),
          PgWire.bind("lost"),
          PgWire.execute(),
          PgWire.sync(),
          PgWire.parse("", "SELECT 4"),
          PgWire.bind(""),
          PgWire.execute(),
          PgWire.sync(),
          Frame.query("SELECT 5"));
      assertThat(PgWire.brief(w.untilReady())).isEqualTo("1 2 D:1 C:SELECT 1 1 2 E:22012 Z:I");
      assertThat(PgWire.brief(w.untilReady())).isEqualTo("1 2 D:4 C:SELECT 1 Z:I");
      assertThat(PgWire.brief(w.untilReady())).isEqualTo("T D:5 C:SELECT 1 Z:I");
      assertThat(use(w, "lost")).isEqualTo("E:26000 Z:I");
    }
  }

  @Test
  void aPipelineLongerThanTheBuffers() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire w = stand.wire()) {
      int n = 6000;
      var frames = new ArrayList<Frame>();
      for (int i = 0; i < n; i++) {
        frames.add(PgWire.parse("", "SELECT '" + i + "', 'some more text, to make it long'"));
        frames.add(PgWire.bind(""));
        frames.add(PgWire.execute());
      }
      frames.add(PgWire.sync());
      byte[] all = Frame.join(frames);
      assertThat(all.length).isGreaterThan(400_000);
      ExecutorService other = Executors.newSingleThreadExecutor();
      Future<?> sent =
          other.submit(
              () -> {
                w.bytes(all);
                return null;
              });
      List<Frame> back = w.untilReady();
      sent.get(5, TimeUnit.SECONDS);
      other.shutdownNow();
      assertThat(back.stream().filter(f -> f.type() == 'D')).hasSize(n);
      assertThat(w.ask("SELECT repeat('x', 2000000)").length()).isGreaterThan(2_000_000);
      assertThat(w.ask("SELECT 1")).startsWith("T D:1");
    }
  }

  /**
   * Guards against a SQL-level prepared statement that another client loses when applying a
   * client's state fails.
   */
  @Test
  void aFailedStateChangeDoesNotAffectTheNextClient() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      assertThat(b.ask("PREPARE of_b AS SELECT 1 FROM scores")).isEqualTo("C:PREPARE Z:I");
      assertThat(a.ask("PREPARE of_a AS SELECT 1")).isEqualTo("C:PREPARE Z:I");
      stand.primary.dropTable("scores");
      assertThat(b.ask("SELECT 2")).isEqualTo("E:42P01 Z:I");
      assertThat(a.ask("EXECUTE of_a")).isEqualTo("T D:1 C:SELECT 1 Z:I");
    }
  }

  // ---- 6. A burst.
  @Test
  void aBurstOf2000ClientsOn20SlotsIsServedFairly() throws Exception {
    try (var stand =
        new Stand(
            0, "limits { clients = 2100, waiting = 2100 }\n" + places(20), s -> s.work(1, 64))) {
      var clients = new ArrayList<PgWire>();
      try {
        for (int i = 0; i < 2000; i++) {
          clients.add(PgWire.to(stand.address(), i < 1900 ? "app" : "calm", "db"));
        }
        byte[] ask = Frame.query("SELECT 1").wire();
        long start = System.nanoTime();
        for (PgWire w : clients) {
          w.bytes(ask);
        }
        double calm = 0;
        double all = 0;
        for (int i = 1999; i >= 0; i--) {
          assertThat(PgWire.brief(clients.get(i).untilReady())).isEqualTo("T D:1 C:SELECT 1 Z:I");
          all = (System.nanoTime() - start) / 1e6;
          calm = i == 1900 ? all : calm;
        }
        // The calm user's 100 requests got every second slot, not the last ones.
        assertThat(calm).isLessThan(0.8 * all + 100);
      } finally {
        for (PgWire w : clients) {
          w.close();
        }
      }
    }
  }

  @Test
  void aWaitingRequestIsRefusedAtItsDeadline() throws Exception {
    try (var stand = new Stand(0, places(1));
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      a.ask("BEGIN");
      long start = System.nanoTime();
      assertThat(b.ask("/* c=trade-claim,d=200 */ INSERT INTO claims VALUES (1)"))
          .isEqualTo("E:53300 Z:I");
      assertThat((System.nanoTime() - start) / 1e6).isBetween(150.0, 1000.0);
      assertThat(a.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      assertThat(b.ask("INSERT INTO claims VALUES (2)")).isEqualTo("C:INSERT 0 1 Z:I");
    }
  }
}
