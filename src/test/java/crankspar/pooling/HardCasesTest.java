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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The failures that the pooling front is for, each one caused. */
class HardCasesTest {
    private static String places(int most) { return "databases { db { places { most = " + most + " } } }"; }

    private static void until(BooleanSupplier what) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!what.getAsBoolean()) {
            assertThat(System.nanoTime()).as("in time").isLessThan(deadline);
            Thread.sleep(1);
        }
    }

    private static String use(PgWire w, String name, String... values) throws IOException {
        w.send(PgWire.bind(name, values), PgWire.execute(), PgWire.sync());
        return PgWire.brief(w.untilReady());
    }

    private static void prepare(PgWire w, String name, String sql) throws IOException {
        w.send(PgWire.parse(name, sql), PgWire.sync());
        assertThat(PgWire.brief(w.untilReady())).isEqualTo("1 Z:I");
    }

    // ---- 1. Prepared statements.
    @Test void aStatementOutlivesItsConnectionsHandOver() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire a = stand.wire(); PgWire b = stand.wire()) {
            prepare(a, "s", "SELECT 'of a', $1");
            prepare(b, "s", "SELECT 'of b', $1");
            for (int i = 0; i < 5; i++) {
                assertThat(use(a, "s", "1")).isEqualTo("2 D:of a|1 C:SELECT 1 Z:I");
                assertThat(use(b, "s", "2")).isEqualTo("2 D:of b|2 C:SELECT 1 Z:I");
            }
            assertThat(stand.recording.prepares.get()).isEqualTo(2);
            // The one that it goes to next has never seen it.
            stand.primary.cutAll();
            assertThat(use(a, "s", "3")).isEqualTo("2 D:of a|3 C:SELECT 1 Z:I");
            a.send(PgWire.parse("s", "SELECT 9"), PgWire.sync());
            assertThat(PgWire.brief(a.untilReady())).isEqualTo("E:42P05 Z:I");
        }
    }

    @Test void aStatementThatTheServerLostOrThatBecameStale() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire a = stand.wire()) {
            prepare(a, "s", "SELECT 'x', $1");
            assertThat(use(a, "s", "1")).startsWith("2 D");
            stand.primary.dropStatements();
            assertThat(use(a, "s", "2")).isEqualTo("2 D:x|2 C:SELECT 1 Z:I");
            stand.primary.stalePlans();
            assertThat(use(a, "s", "3")).isEqualTo("2 D:x|3 C:SELECT 1 Z:I");
            // Inside a block it is the client's to hear; the block is lost, the statement is not.
            assertThat(a.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
            stand.primary.dropStatements();
            assertThat(use(a, "s", "4")).isEqualTo("E:26000 Z:E");
            assertThat(a.ask("ROLLBACK")).isEqualTo("C:ROLLBACK Z:I");
            assertThat(use(a, "s", "5")).isEqualTo("2 D:x|5 C:SELECT 1 Z:I");
        }
    }

    // ---- 2. A trade-claim that is cut.
    /** Fires once, at the nth message of a type, before or after it was done, or within it. */
    private static final class Cut implements Fault {
        final String when;
        final char type;
        final int nth;
        int seen, bytes;
        volatile boolean fired;

        Cut(String when, char type, int nth) {
            this.when = when;
            this.type = type;
            this.nth = nth;
        }

        @Override public Act received(int connection, char t, String text) {
            seen += t == type && !when.equals("after") ? 1 : 0;
            return fire("before", t);
        }

        @Override public Act answering(int connection, char t, String tag) {
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

        @Override public int bytes(int connection, char t) { return when.equals("within") && !fired && t == type && seen == nth - 1 ? 7 : 0; }

        @Override public void cut() { fired = true; }
    }

    /** Plays one claim; what the client heard last, in brief, with {@code END} where its connection ended. */
    private static List<String> claim(Stand stand, String key, boolean extended) throws IOException {
        var heard = new ArrayList<String>();
        try (PgWire w = stand.wire()) {
            for (String sql : List.of("/* c=trade-claim */ BEGIN", "INSERT INTO claims VALUES ('" + key + "')", "COMMIT")) {
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
    void aClaimCutAnywhereIsNeverReplayedAndTellsWhetherItMayHaveRun(boolean extended, char type, int messages, char ready) throws Exception {
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
                        List<Executed> ran = stand.recording.executed().stream().filter(e -> e.sql.contains(key + "'")).toList();
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
                        // Before its COMMIT is out it is known to have had no effect.
                        assertThat(last.contains("E:08007") && heard.size() < 3).as(where).isFalse();
                    }
                }
            }
            assertThat(claim).isGreaterThan(8);
        }
    }

    @Test void aSingleClaimCutAfterItRanIsUnknownAndNotSentAgain() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire w = stand.wire()) {
            stand.primary.fault(new Cut("after", 'Q', 1));
            assertThat(w.ask("INSERT INTO claims VALUES (1)")).isEqualTo("E:08007 Z:I");
            assertThat(w.ask("INSERT INTO claims VALUES (2)")).isEqualTo("C:INSERT 0 1 Z:I");
            assertThat(stand.recording.begun(q -> q.contains("(1)"))).isEqualTo(1);
        }
    }

    @Test void aLongClaimCutBeforeItsLastByteIsSentElsewhere() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire w = stand.wire()) {
            w.ask("SELECT 1");
            stand.primary.fault(new Cut("within", 'Q', 1));
            assertThat(w.ask("INSERT INTO claims VALUES ('" + "x".repeat(900_000) + "')")).isIn("C:INSERT 0 1 Z:I", "E:08007 Z:I");
            assertThat(stand.recording.begun(q -> q.startsWith("INSERT"))).isLessThanOrEqualTo(1);
        }
    }

    @Test void aReadThatIsCutIsAskedElsewhere() throws Exception {
        try (var stand = new Stand(2, "databases { db { select-class = season-report } }"); PgWire w = stand.wire()) {
            var cut = new Cut("after", 'Q', 1);
            stand.replicas.forEach(r -> r.fault(cut));
            assertThat(w.ask("SELECT 5")).isEqualTo("T D:5 C:SELECT 1 Z:I");
            assertThat(cut.fired).isTrue();
        }
    }

    // ---- 3. Cancels.
    @Test void aLateCancelReachesNobodyElse() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire a = stand.wire(); PgWire b = stand.wire()) {
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

    @Test void aConnectionIsKeptApartWhileACancelForItsLastClientIsOut() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire a = stand.wire(); PgWire b = stand.wire()) {
            ExecutorService other = Executors.newCachedThreadPool();
            try {
                for (int i = 0; i < 30; i++) {
                    a.send(Frame.query("SELECT pg_sleep(0.002)"));
                    Future<?> cancel = other.submit(() -> {
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

    @Test void aCancelOfOneWhoWaitsEndsItsWait() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire a = stand.wire(); PgWire b = stand.wire()) {
            assertThat(a.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
            b.send(Frame.query("SELECT 2"));
            PgWire admin = PgWire.to(stand.address(), "admin", "crankspar");
            until(() -> {
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

    // ---- 4. Clients that die.
    @Test void whatADeadClientLeavesIsRolledBack() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire next = stand.wire()) {
            PgWire a = stand.wire();
            a.ask("BEGIN");
            a.ask("SET TIME ZONE 'Asia/Tokyo'");
            a.ask("INSERT INTO claims VALUES (1)");
            a.close();
            assertThat(next.ask("SELECT current_setting('TimeZone')")).isEqualTo("T D:UTC C:SELECT 1 Z:I");
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

    @Test void aSessionsConnectionIsCleanedBeforeTheNextHasIt() throws Exception {
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

    // ---- 5. Servers that die or drain, errors and long pipelines.
    @Test void aServerThatDiesWith500ClientsOn20Connections() throws Exception {
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
                outcomes.add(pool.submit(() -> {
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

    @Test void anOpenTransactionGoesOnWhileItsServerDrainsWithinItsBound() throws Exception {
        try (var stand = new Stand(1, "limits { drain = 600ms }\n databases { db { class = season-report, read-only-class = season-report } }");
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
            // One that takes longer than the bound is ended.
            assertThat(w.ask("BEGIN READ ONLY")).isEqualTo("C:BEGIN Z:T");
            String now = stand.recording.executed().get(stand.recording.executed().size() - 1).server;
            call(stand, "/-/league-databases/" + (now.equals("primary") ? "p" : "r0") + "/disable");
            assertThat(PgWire.brief(List.of(w.next()))).isEqualTo("E:57P01");
            assertThat(w.ends()).isTrue();
        }
    }

    @Test void aServerThatDrainsWith500ClientsOn20Connections() throws Exception {
        try (var stand = new Stand(1, "databases { db { class = season-report, places { most = 20 } } }", s -> s.work(1, 8))) {
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

    private static String call(Stand stand, String path) throws IOException {
        try (var socket = new java.net.Socket(stand.daemon.mgmtAddress().getAddress(), stand.daemon.mgmtAddress().getPort())) {
            socket.getOutputStream().write(("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").getBytes());
            return new String(socket.getInputStream().readAllBytes());
        }
    }

    @Test void aPrimaryThatChangesWithinATransaction() throws Exception {
        try (var stand = new Stand(1, places(5)); PgWire w = stand.wire()) {
            assertThat(w.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
            stand.primary.role(false);
            stand.replicas.get(0).role(true);
            assertThat(w.ask("INSERT INTO claims VALUES (1)")).isEqualTo("E:25006 Z:E");
            assertThat(w.ask("ROLLBACK")).isEqualTo("C:ROLLBACK Z:I");
            assertThat(w.ask("BEGIN")).isEqualTo("C:BEGIN Z:T");
            assertThat(w.ask("INSERT INTO claims VALUES (2)")).isEqualTo("C:INSERT 0 1 Z:T");
            assertThat(w.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
            assertThat(w.ask("INSERT INTO claims VALUES (3)")).isEqualTo("C:INSERT 0 1 Z:I");
            assertThat(stand.recording.executed().stream().filter(e -> e.sql.contains("(2)") || e.sql.contains("(3)")).map(e -> e.server))
                    .containsOnly("replica-0");
        }
    }

    @Test void aSetInATransactionThatIsRolledBackIsGone() throws Exception {
        try (var stand = new Stand(0, places(2)); PgWire a = stand.wire(); PgWire b = stand.wire()) {
            a.ask("SET TIME ZONE 'America/Vancouver'");
            a.ask("BEGIN");
            a.ask("SET TIME ZONE 'Asia/Tokyo'");
            a.ask("SAVEPOINT x");
            a.ask("SET statement_timeout TO 5");
            a.ask("ROLLBACK TO x");
            assertThat(a.ask("SELECT current_setting('TimeZone'), current_setting('statement_timeout')")).startsWith("T D:Asia/Tokyo|0");
            a.ask("ROLLBACK");
            assertThat(b.ask("SELECT current_setting('TimeZone')")).startsWith("T D:UTC");
            assertThat(a.ask("SELECT current_setting('TimeZone')")).startsWith("T D:America/Vancouver");
            a.ask("RESET ALL");
            assertThat(a.ask("SHOW timezone")).startsWith("T D:UTC");
        }
    }

    @Test void anErrorInsideAPipelineAndWhatFollowsIt() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire w = stand.wire()) {
            w.send(PgWire.parse("", "SELECT 1"), PgWire.bind(""), PgWire.execute(),
                    PgWire.parse("", "SELECT raise('22012')"), PgWire.bind(""), PgWire.execute(),
                    PgWire.parse("lost", "SELECT 3"), PgWire.bind("lost"), PgWire.execute(), PgWire.sync(),
                    PgWire.parse("", "SELECT 4"), PgWire.bind(""), PgWire.execute(), PgWire.sync(), Frame.query("SELECT 5"));
            assertThat(PgWire.brief(w.untilReady())).isEqualTo("1 2 D:1 C:SELECT 1 1 2 E:22012 Z:I");
            assertThat(PgWire.brief(w.untilReady())).isEqualTo("1 2 D:4 C:SELECT 1 Z:I");
            assertThat(PgWire.brief(w.untilReady())).isEqualTo("T D:5 C:SELECT 1 Z:I");
            assertThat(use(w, "lost")).isEqualTo("E:26000 Z:I");
        }
    }

    @Test void aPipelineLongerThanTheBuffers() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire w = stand.wire()) {
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
            Future<?> sent = other.submit(() -> {
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

    // ---- 6. A burst.
    @Test void aBurstOf2000ClientsOn20PlacesTakesFairTurns() throws Exception {
        try (var stand = new Stand(0, "limits { clients = 2100, waiting = 2100 }\n" + places(20), s -> s.work(1, 64))) {
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
                // The calm user's hundred had every second turn, not the last ones.
                assertThat(calm).isLessThan(0.8 * all + 100);
            } finally {
                for (PgWire w : clients) {
                    w.close();
                }
            }
        }
    }

    @Test void aWaitIsBoundedAndThenRefused() throws Exception {
        try (var stand = new Stand(0, places(1)); PgWire a = stand.wire(); PgWire b = stand.wire()) {
            a.ask("BEGIN");
            long start = System.nanoTime();
            assertThat(b.ask("/* c=trade-claim,d=200 */ INSERT INTO claims VALUES (1)")).isEqualTo("E:53300 Z:I");
            assertThat((System.nanoTime() - start) / 1e6).isBetween(150.0, 1000.0);
            assertThat(a.ask("COMMIT")).isEqualTo("C:COMMIT Z:I");
            assertThat(b.ask("INSERT INTO claims VALUES (2)")).isEqualTo("C:INSERT 0 1 Z:I");
        }
    }
}
