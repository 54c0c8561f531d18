package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Recording.Executed;
import crankspar.lab.Stand;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The pooling front end to end, as clients and operators see it. */
class FrontTest {
  private static final String DB = "databases { db { } }";

  @Test
  void startupIsAnsweredWhateverVersionAndOptionsItAsksFor() throws Exception {
    try (var stand = new Stand(0, DB)) {
      try (var w = new PgWire(stand.address())) {
        w.bytes(new byte[] {0, 0, 0, 8, 4, (byte) 0xd2, 0x16, 0x2f}); // SSLRequest
        assertThat(w.socket.getInputStream().read()).isEqualTo('N');
        w.login(
            3 << 16 | 2,
            "app",
            "db",
            "_pq_.grease",
            "1",
            "TimeZone",
            "Asia/Tokyo",
            "application_name",
            "it");
        assertThat(w.welcome.get(0).type()).isEqualTo('v');
        assertThat(w.parameters)
            .containsEntry("TimeZone", "Asia/Tokyo")
            .containsEntry("application_name", "it")
            .containsKeys("server_version", "client_encoding", "DateStyle")
            .doesNotContainKeys("role", "applied_ms");
        assertThat(w.process).isPositive();
        assertThat(w.ask("SELECT current_setting('TimeZone')")).startsWith("T D:Asia/Tokyo");
        assertThat(w.ask(" ")).isEqualTo("I Z:I");
        assertThat(w.ask("-- nothing")).isEqualTo("I Z:I");
        w.send(PgWire.sync());
        assertThat(PgWire.brief(w.untilReady())).isEqualTo("Z:I");
      }
      assertThat(refusal(stand, 3 << 16, "app", "nowhere")).isEqualTo("E:3D000 END");
      assertThat(refusal(stand, 2 << 16, "app", "db")).isEqualTo("E:08P01 END");
      assertThat(refusal(stand, 3 << 16, "app", "db", "replication", "database"))
          .isEqualTo("E:0A000 END");
    }
  }

  private static String refusal(
      Stand stand, int version, String user, String database, String... more) throws IOException {
    try (var w = new PgWire(stand.address())) {
      w.login(version, user, database, more);
      return PgWire.brief(w.welcome);
    }
  }

  @Test
  void unknownUsersAndServerLoginErrorsAreReported() throws Exception {
    try (var stand =
        new Stand(
            0,
            "databases { db { users { app { } } }, gone { name = no_such, places { most = 2 } } }")) {
      assertThat(refusal(stand, 3 << 16, "other", "db")).isEqualTo("E:28000 END");
      assertThat(refusal(stand, 3 << 16, "app", "gone")).isEqualTo("E:3D000 END");
    }
  }

  @Test
  void clientsAndLoginsAreBounded() throws Exception {
    try (var stand = new Stand(0, "limits { clients = 2, login = 200ms }\n" + DB);
        PgWire a = stand.wire()) {
      try (var silent = new Socket(stand.address().getAddress(), stand.address().getPort())) {
        assertThat(refusal(stand, 3 << 16, "app", "db")).isEqualTo("E:53300 END");
        silent.setSoTimeout(PgWire.PATIENCE_MS);
        byte[] told = silent.getInputStream().readAllBytes();
        assertThat(new String(told, StandardCharsets.UTF_8))
            .contains("no complete startup message arrived in time");
      }
      try (PgWire c = stand.wire()) {
        assertThat(c.ask("SELECT 1")).startsWith("T D:1");
      }
      assertThat(a.ask("SELECT 1")).startsWith("T D:1");
    }
  }

  @Test
  void malformedMessagesCloseOnlyTheirConnection() throws Exception {
    try (var stand = new Stand(0, DB);
        PgWire good = stand.wire()) {
      for (byte[] bad :
          List.of(
              new byte[] {'Q', 0x7f, 0, 0, 0},
              new byte[] {'?', 0, 0, 0, 4},
              Frame.body().text("pw").as('p').wire(),
              Frame.body().text("a").as('B').wire())) {
        try (PgWire w = stand.wire()) {
          w.bytes(bad);
          w.send(PgWire.sync());
          assertThat(PgWire.brief(w.untilReady())).isEqualTo("E:08P01 END");
        }
      }
      assertThat(good.ask("SELECT 1")).startsWith("T D:1");
    }
  }

  @Test
  void flushReturnsRepliesBeforeTheSync() throws Exception {
    try (var stand = new Stand(0, DB);
        PgWire w = stand.wire()) {
      w.send(
          PgWire.parse("s", "SELECT $1"),
          Frame.body().code('S').text("s").as('D'),
          Frame.body().as('H'));
      assertThat(PgWire.brief(List.of(w.next(), w.next(), w.next()))).isEqualTo("1 t T");
      w.send(PgWire.bind("s", "7"), PgWire.execute(), Frame.body().as('H'));
      assertThat(PgWire.brief(List.of(w.next(), w.next(), w.next()))).isEqualTo("2 D:7 C:SELECT 1");
      w.send(Frame.body().code('S').text("s").as('C'), PgWire.sync());
      assertThat(PgWire.brief(w.untilReady())).isEqualTo("3 Z:I");
    }
  }

  @Test
  void severalStatementsAndACopyInTheExtendedProtocol() throws Exception {
    try (var stand = new Stand(0, DB);
        PgWire w = stand.wire()) {
      assertThat(w.ask("SELECT 1; INSERT INTO t VALUES (1); SELECT 2"))
          .isEqualTo("T D:1 C:SELECT 1 C:INSERT 0 1 T D:2 C:SELECT 1 Z:I");
      w.send(
          PgWire.parse("", "COPY t FROM STDIN"),
          PgWire.bind(""),
          PgWire.execute(),
          Frame.body().as('H'));
      assertThat(PgWire.brief(List.of(w.next(), w.next(), w.next()))).isEqualTo("1 2 G");
      w.send(PgWire.copyData("1\n"), PgWire.copyData("2\n"), Frame.body().as('c'), PgWire.sync());
      assertThat(PgWire.brief(w.untilReady())).isEqualTo("C:COPY 2 Z:I");
      w.send(Frame.query("COPY t FROM STDIN"));
      assertThat(w.next().type()).isEqualTo('G');
      w.send(PgWire.copyData("1\n"), Frame.body().text("no").as('f'));
      assertThat(PgWire.brief(w.untilReady())).isEqualTo("E:57014 Z:I");
    }
  }

  @Test
  void sqlLevelPreparedStatementsFollowTheClient() throws Exception {
    try (var stand = new Stand(0, "databases { db { places { most = 1 } } }");
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      assertThat(a.ask("PREPARE p AS SELECT 'a', $1")).isEqualTo("C:PREPARE Z:I");
      assertThat(b.ask("PREPARE p AS SELECT 'b', $1")).isEqualTo("C:PREPARE Z:I");
      assertThat(a.ask("EXECUTE p(1)")).isEqualTo("T D:a|1 C:SELECT 1 Z:I");
      assertThat(b.ask("EXECUTE p(2)")).isEqualTo("T D:b|2 C:SELECT 1 Z:I");
      assertThat(a.ask("DEALLOCATE p")).isEqualTo("C:DEALLOCATE Z:I");
      assertThat(a.ask("EXECUTE p(1)")).isEqualTo("E:26000 Z:I");
      assertThat(b.ask("EXECUTE p(3)")).isEqualTo("T D:b|3 C:SELECT 1 Z:I");
      a.send(PgWire.parse("s", "SELECT 1"), PgWire.sync());
      a.untilReady();
      assertThat(a.ask("DEALLOCATE s")).isEqualTo("C:DEALLOCATE Z:I");
      a.send(PgWire.bind("s"), PgWire.sync());
      assertThat(PgWire.brief(a.untilReady())).isEqualTo("E:26000 Z:I");
    }
  }

  @Test
  void serverSideStatePinsTheConnectionUntilItIsReleased() throws Exception {
    try (var stand = new Stand(0, "databases { db { places { most = 2 } } }");
        PgWire a = stand.wire();
        PgWire b = stand.wire();
        PgWire admin = PgWire.to(stand.address(), "admin", "crankspar")) {
      assertThat(a.ask("LISTEN news")).isEqualTo("C:LISTEN Z:I");
      assertThat(admin.ask("SHOW clients")).contains("LISTEN");
      assertThat(b.ask("NOTIFY news, 'x'")).isEqualTo("C:NOTIFY Z:I");
      assertThat(a.next().type()).isEqualTo('A');
      assertThat(a.ask("SELECT 1")).startsWith("T D:1");
      a.ask("UNLISTEN *");
      assertThat(admin.ask("SHOW clients")).doesNotContain("LISTEN");
      String first = a.ask("SELECT pg_backend_pid()");
      a.ask("CREATE TEMP TABLE t (x int)");
      for (int i = 0; i < 3; i++) {
        b.ask("BEGIN");
        assertThat(b.ask("SELECT pg_backend_pid()")).isNotEqualTo(first);
        b.ask("COMMIT");
      }
      a.ask("DROP TABLE t");
    }
  }

  @Test
  void pinsRefusedByConfigurationFailWithAnError() throws Exception {
    try (var stand = new Stand(0, "pins { listen = refuse, lock = refuse }\n" + DB);
        PgWire w = stand.wire()) {
      assertThat(w.ask("LISTEN news")).isEqualTo("E:0A000 Z:I");
      assertThat(w.ask("SELECT pg_advisory_lock(1)")).isEqualTo("E:0A000 Z:I");
      assertThat(w.ask("SELECT 1")).startsWith("T D:1");
      w.ask("BEGIN");
      assertThat(w.ask("LISTEN news")).isEqualTo("E:0A000 Z:T");
      assertThat(w.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      assertThat(stand.recording.begun(q -> q.startsWith("LISTEN"))).isZero();
    }
  }

  @Test
  void idleAndOverlongTransactionsAreEnded() throws Exception {
    try (var stand =
            new Stand(0, "limits { idle-in-transaction = 200ms, transaction = 500ms }\n" + DB);
        PgWire a = stand.wire();
        PgWire b = stand.wire()) {
      a.ask("BEGIN");
      a.ask("INSERT INTO t VALUES (1)");
      assertThat(PgWire.brief(List.of(a.next()))).isEqualTo("E:25P03");
      assertThat(a.ends()).isTrue();
      b.ask("BEGIN");
      String heard = "";
      for (int i = 0; i < 100 && !heard.contains("25P04"); i++) {
        heard = b.ask("SELECT pg_sleep(0.05)");
      }
      assertThat(heard).contains("E:25P04");
      assertThat(stand.recording.committed(q -> q.startsWith("INSERT"))).isZero();
    }
  }

  @Test
  void aSessionReadSeesItsOwnCommit() throws Exception {
    // Replicas lag by 10 s: only the primary can show the rows just committed.
    try (var stand =
            new Stand(2, "databases { db { select-class = my-roster } }", s -> s.lag(10_000));
        PgWire w = stand.wire()) {
      for (int i = 0; i < 5; i++) {
        assertThat(w.ask("INSERT INTO rosters VALUES (" + i + ")")).isEqualTo("C:INSERT 0 1 Z:I");
        assertThat(w.ask("SELECT 'after " + i + "'")).contains("after " + i);
      }
      List<Executed> reads =
          stand.recording.executed().stream().filter(e -> e.sql.contains("after")).toList();
      assertThat(reads).hasSize(5).allMatch(e -> e.server.equals("primary"));
    }
  }

  @Test
  void aWriteReachesThePrimaryWhateverTheListSays() throws Exception {
    try (var stand = new Stand(2, DB);
        PgWire w = stand.wire()) {
      stand.primary.role(false);
      stand.replicas.get(1).role(true);
      assertThat(w.ask("INSERT INTO t VALUES (1)")).isEqualTo("C:INSERT 0 1 Z:I");
      assertThat(w.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
      assertThat(w.ask("INSERT INTO t VALUES (2)")).isEqualTo("C:INSERT 0 1 Z:T");
      assertThat(w.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      assertThat(
              stand.recording.executed().stream()
                  .filter(e -> e.sql.startsWith("INSERT"))
                  .map(e -> e.server))
          .containsOnly("replica-1");
    }
  }

  @Test
  void theConsoleShowsTablesAndPausesDatabases() throws Exception {
    try (var stand = new Stand(0, DB);
        PgWire w = stand.wire();
        PgWire admin = PgWire.to(stand.address(), "admin", "crankspar")) {
      w.send(PgWire.parse("s", "SELECT 1"), PgWire.bind("s"), PgWire.execute(), PgWire.sync());
      w.untilReady();
      assertThat(admin.ask("SHOW pools")).contains("D:db|app|transaction|1|0|0|1|1|20|");
      assertThat(admin.ask("SHOW servers;")).contains("p|db|app|idle|").contains("C:SHOW Z:I");
      assertThat(admin.ask("SHOW clients")).contains("|db|app|idle|");
      assertThat(admin.ask("SHOW statements")).contains("|1|1|SELECT 1");
      assertThat(admin.ask("SHOW databases")).contains("D:db|db|transaction|1|trade-claim|");
      assertThat(admin.ask("SHOW counters")).contains("D:pooling_logins|");
      assertThat(admin.ask("SHOW help")).startsWith("T D:SHOW pools");
      assertThat(admin.ask("SELECT 1")).isEqualTo("E:42601 Z:I");
      assertThat(admin.ask("PAUSE nowhere")).isEqualTo("E:3D000 Z:I");
      assertThat(admin.ask("PAUSE db")).isEqualTo("C:PAUSE Z:I");
      w.send(Frame.query("/* c=trade-claim,d=3000 */ SELECT 2"));
      for (String clients = ""; !clients.contains("waiting"); ) {
        clients = admin.ask("SHOW clients");
      }
      assertThat(admin.ask("RESUME db")).isEqualTo("C:RESUME Z:I");
      assertThat(PgWire.brief(w.untilReady())).isEqualTo("T D:2 C:SELECT 1 Z:I");
    }
  }

  @Test
  void reloadTakesEffectWithoutLosingClients() throws Exception {
    try (var stand = new Stand(0, "databases { db { places { most = 1 } }, old { } }");
        PgWire a = stand.wire();
        PgWire b = stand.wire();
        PgWire old = PgWire.to(stand.address(), "app", "old")) {
      a.ask("SET TIME ZONE 'Asia/Tokyo'");
      a.ask("BEGIN");
      b.send(Frame.query("SELECT 2"));
      stand.change("databases { db { places { most = 2 } }, fresh { } }");
      assertThat(PgWire.brief(b.untilReady())).startsWith("T D:2");
      assertThat(a.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
      assertThat(a.ask("SELECT current_setting('TimeZone')")).startsWith("T D:Asia/Tokyo");
      try (PgWire fresh = PgWire.to(stand.address(), "app", "fresh")) {
        assertThat(fresh.ask("SELECT 3")).startsWith("T D:3");
      }
      assertThat(old.ask("SELECT 1")).isEqualTo("E:3D000 Z:I");
    }
  }

  @Test
  void shutdownClosesIdleClientsAndLetsTransactionsFinish() throws Exception {
    var stand = new Stand(0, DB);
    try (stand;
        PgWire idle = stand.wire();
        PgWire busy = stand.wire()) {
      busy.ask("BEGIN");
      var stop =
          new Thread(
              () -> {
                try {
                  stand.daemon.stop();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      stop.start();
      assertThat(PgWire.brief(List.of(idle.next()))).isEqualTo("E:57P01");
      assertThat(busy.ask("INSERT INTO t VALUES (1)")).isEqualTo("C:INSERT 0 1 Z:T");
      assertThat(busy.ask("COMMIT")).startsWith("C:COMMIT Z:I");
      assertThat(PgWire.brief(List.of(busy.next()))).isEqualTo("E:57P01");
      stop.join();
    }
  }

  @Test
  void lostServerConnectionsInTransactionsAreReported() throws Exception {
    try (var stand = new Stand(0, DB)) {
      var wires = new ArrayList<PgWire>();
      for (int i = 0; i < 5; i++) {
        wires.add(stand.wire());
        wires.get(i).ask("BEGIN");
      }
      stand.primary.cutAll();
      for (PgWire w : wires) {
        assertThat(PgWire.brief(List.of(w.next()))).isEqualTo("E:08006");
        assertThat(w.ends()).isTrue();
      }
    }
  }
}
