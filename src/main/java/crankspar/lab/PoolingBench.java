package crankspar.lab;

import crankspar.net.EventLoop;
import crankspar.pooling.Frame;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

/**
 * The pooling front's promises, measured: 2,000 clients over 40 connections against the same work straight to the
 * stand-in, in one run. The pooler is a process of its own; stand-in and clients are here, a loop each.
 */
final class PoolingBench {
    private static final int CLIENTS = 2000;
    private static final int PLACES = 40;
    private static final List<String> ZONES = List.of("UTC", "Asia/Tokyo", "America/Vancouver", "Europe/Riga");
    private static final int ZONE_ROUNDS = 50;
    private static final int CLAIMS = 10_000;
    private static final int CUTS = 200;
    private static final String CLAIM = "INSERT INTO claims VALUES ($1)";

    private final Promises promises = new Promises();
    private final EventLoop load = new EventLoop("load");
    private final PgServer server = new PgServer("primary");
    private final String fault;

    /** {@code fault} spoils one promise on purpose, so that the check can be seen to fail; or null. */
    PoolingBench(String fault) throws IOException { this.fault = fault == null ? "" : fault; }

    private static List<byte[]> script(Frame[]... steps) { return Arrays.stream(steps).map(s -> Frame.join(List.of(s))).toList(); }

    private static Frame[] simple(String sql) { return new Frame[] {Frame.query(sql)}; }

    private static Frame parse(String name, String sql) { return Frame.body().text(name).text(sql).int16(0).as('P'); }

    private static Frame bind(String name, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return Frame.body().text("").text(name).int16(0).int16(1).int32(bytes.length).bytes(bytes).int16(0).as('B');
    }

    private static final Frame EXECUTE = Frame.body().text("").int32(0).as('E');
    private static final Frame SYNC = Frame.body().as('S');

    private static List<byte[]> claim(String key) {
        return script(simple("/* c=claim */ BEGIN"), new Frame[] {bind("claim", key), EXECUTE, SYNC}, simple("COMMIT"));
    }

    private static final List<byte[]> READ = script(new Frame[] {bind("read", "7"), EXECUTE, SYNC});
    private static final List<byte[]> PREPARE = script(new Frame[] {parse("read", "SELECT $1"), SYNC}, new Frame[] {parse("claim", CLAIM), SYNC});

    private String operator(String mode, int places) {
        return "name = bench\n" + LabSettings.text(1) + "pooling { listen = \"127.0.0.1:0\"\n members { revision = 1, complete = true, members = ["
                + LabSettings.member("p", server.address().getPort(), true) + "] }\n limits { clients = 3000, waiting = 3000 }\n"
                + " databases { db { mode = " + mode + ", places { most = " + places + " } } } }\n";
    }

    private List<PgClient> clients(InetSocketAddress at, int n) throws InterruptedException {
        var all = new ArrayList<PgClient>();
        for (int from = 0; from < n; from += 200) {       // a listener's backlog is bounded
            int here = Math.min(200, n - from);
            var ready = new CountDownLatch(here);
            for (int i = 0; i < here; i++) {
                load.runAndWait(() -> all.add(PgClient.connect(load, at, "app", "db", c -> ready.countDown())));
            }
            await(ready, "log in");
        }
        return all;
    }

    private static void await(CountDownLatch latch, String what) throws InterruptedException {
        if (!latch.await(20, TimeUnit.SECONDS)) {
            throw new IllegalStateException("not in time: " + what + ", " + latch.getCount() + " left");
        }
    }

    private void each(List<PgClient> clients, List<byte[]> script) throws InterruptedException {
        var done = new CountDownLatch(clients.size());
        load.run(() -> clients.forEach(c -> c.play(script, o -> done.countDown())));
        await(done, "a script");
    }

    /** Closed loops for a while; transactions a second. */
    private double rate(List<PgClient> clients, List<byte[]> script, int ms) throws InterruptedException {
        var done = new AtomicInteger();
        var left = new CountDownLatch(clients.size());
        long start = System.nanoTime();
        long end = start + TimeUnit.MILLISECONDS.toNanos(ms);
        load.run(() -> clients.forEach(c -> again(c, script, end, done, left)));
        await(left, "the rate");
        return done.get() / ((System.nanoTime() - start) / 1e9);
    }

    private void again(PgClient c, List<byte[]> script, long end, AtomicInteger done, CountDownLatch left) {
        if (System.nanoTime() >= end) {
            left.countDown();
            return;
        }
        c.play(script, o -> {
            if (o.good()) {
                done.incrementAndGet();
            }
            again(c, script, end, done, left);
        });
    }

    /** Medians (ms) of single reads, one path after the other so that a drift of the machine falls on both. */
    private double[] latencies(List<PgClient> paths, int rounds, int warm) throws InterruptedException {
        double[][] samples = new double[paths.size()][rounds - warm];
        for (int i = 0; i < rounds; i++) {
            for (int p = 0; p < paths.size(); p++) {
                var done = new CountDownLatch(1);
                long[] times = new long[2];
                PgClient client = paths.get(p);
                load.run(() -> {
                    times[0] = System.nanoTime();
                    client.play(READ, o -> {
                        times[1] = System.nanoTime();
                        done.countDown();
                    });
                });
                await(done, "a read");
                if (i >= warm) {
                    samples[p][i - warm] = (times[1] - times[0]) / 1e6;
                }
            }
        }
        return Arrays.stream(samples).mapToDouble(s -> {
            Arrays.sort(s);
            return s[s.length / 2];
        }).toArray();
    }

    int run() throws IOException, InterruptedException {
        server.listen(new InetSocketAddress("127.0.0.1", 0));
        try (var transaction = new PoolerProcess(operator("transaction", PLACES), "-Xms96m", "-Xmx256m", "-XX:MaxDirectMemorySize=64m");
                var session = new PoolerProcess(operator("session", PLACES), "-Xms96m", "-Xmx256m", "-XX:MaxDirectMemorySize=64m")) {
            List<PgClient> direct = clients(server.address(), PLACES);
            each(direct, PREPARE);
            List<PgClient> first = clients(transaction.pooling(), 1);
            each(first, PREPARE);
            List<PgClient> sessions = clients(session.pooling(), PLACES);
            each(sessions, PREPARE);
            server.recording().whole = false;
            double[] medians = latencies(List.of(direct.get(0), first.get(0), sessions.get(0)), 6000, 3000);
            latency(medians);
            memory(transaction);
            timeZones(transaction);
            List<PgClient> pooled = clients(transaction.pooling(), CLIENTS);
            each(pooled, PREPARE);
            each(pooled, READ);
            rates(direct, sessions, pooled);
            burst(pooled);
            server.recording().whole = true;
            claims(transaction.pooling(), pooled);
        }
                server.close();
        load.close();
        return promises.tell();
    }

    private void latency(double[] medians) {
        double added = medians[1] - medians[0] + (fault.equals("latency") ? 1 : 0);
        promises.put("median_direct_ms", Promises.round(medians[0]));
        promises.put("median_transaction_ms", Promises.round(medians[1]));
        promises.put("median_session_ms", Promises.round(medians[2]));
        promises.put("added_median_ms", Promises.round(added));
        promises.keep(added < 0.25, "added latency at the median " + Promises.round(added) + " ms, promised under 0.25");
    }

    private void memory(PoolerProcess pooler) throws IOException, InterruptedException {
        List<PgClient> some = clients(pooler.pooling(), 200);
        each(some, PREPARE);                  // whatever is set up once is there
        long before = pooler.heap();
        List<PgClient> idle = clients(pooler.pooling(), CLIENTS);
        each(idle, PREPARE);
        each(idle, READ);
        long after = pooler.heap();
        double each = (after - before) / (double) CLIENTS * (fault.equals("memory") ? 10 : 1);
        promises.put("idle_client_heap_bytes", Math.round(each));
        promises.keep(each < 10 * 1024, "an idle client takes " + Math.round(each) + " bytes of heap, promised under 10240");
        load.runAndWait(() -> {
            idle.forEach(PgClient::close);
            some.forEach(PgClient::close);
        });
    }

    /** Reads by clients of several time zones, which cannot share a statement: Parses for each, and statements held. */
    private void timeZones(PoolerProcess pooler) throws InterruptedException {
        List<PgClient> all = clients(pooler.pooling(), ZONES.size() * PLACES);
        var set = new CountDownLatch(all.size());
        load.run(() -> {
            for (int i = 0; i < all.size(); i++) {
                all.get(i).play(script(simple("SET TIME ZONE '" + ZONES.get(i % ZONES.size()) + "'")), o -> set.countDown());
            }
        });
        await(set, "time zones");
        each(all, PREPARE);
        Recording recording = server.recording();
        long prepares = recording.prepares.get();
        long executions = recording.executions.get();
        for (int i = 0; i < ZONE_ROUNDS; i++) {
            each(all, READ);
        }
        double share = (recording.prepares.get() - prepares) / (double) (recording.executions.get() - executions);
        int[] held = new int[1];
        server.loop.runAndWait(() -> server.backends.values().forEach(b -> held[0] = Math.max(held[0], b.statements.count())));
        promises.put("zones_prepares_by_execution", Promises.round(share));
        promises.put("zones_statements_on_a_server", held[0]);
        load.runAndWait(() -> all.forEach(PgClient::close));
    }

    private void rates(List<PgClient> direct, List<PgClient> sessions, List<PgClient> pooled) throws InterruptedException {
        List<byte[]> work = script(simple("BEGIN"), new Frame[] {bind("claim", "rate"), EXECUTE, SYNC}, simple("COMMIT"));
        rate(pooled, work, 1500);
        rate(direct, work, 500);
        rate(sessions, work, 1000);
        promises.put("transactions_a_second_direct", Math.round(rate(direct, work, 2000)));
        promises.put("transactions_a_second_session", Math.round(rate(sessions, work, 2000)));
        promises.put("transactions_a_second_transaction", Math.round(rate(pooled, work, 2000)));
    }

    /**
     * All at once, each a statement of 2 ms. A client's fair turn is its place in the order of asking; nobody is served
     * later than it by more than the burst's mean fair turn.
     */
    private void burst(List<PgClient> pooled) throws InterruptedException {
        server.work(2, PLACES);
        double[] served = new double[CLIENTS];
        var done = new CountDownLatch(CLIENTS);
        var bad = new AtomicInteger();
        load.run(() -> {
            long start = System.nanoTime();
            for (int i = 0; i < CLIENTS; i++) {
                int mine = i;
                pooled.get(i).play(READ, o -> {
                    served[mine] = (System.nanoTime() - start) / 1e6;
                    if (!o.good()) {
                        bad.incrementAndGet();
                    }
                    done.countDown();
                });
            }
        });
        await(done, "the burst");
        double all = Arrays.stream(served).max().orElse(0);
        double worst = 0;
        for (int i = 0; i < CLIENTS; i++) {
            worst = Math.max(worst, (served[i] - all * (i + 1) / CLIENTS) / (all / 2));
        }
        double fair = 1 + worst + (fault.equals("burst") ? 2 : 0);
        promises.put("burst_ms", Promises.round(all));
        promises.put("burst_refused", bad.get());
        promises.put("burst_worst_by_mean_turn", Promises.round(fair));
        promises.keep(fair <= 2 && bad.get() == 0, "in the burst somebody was served " + Promises.round(fair) + " mean turns late (promised 2), "
                + bad.get() + " refused");
        server.work(0, 64);
    }

    /** Each claim once: what was answered COMMIT has taken effect, what was said to have had no effect has not, none has twice. */
    private void claims(InetSocketAddress at, List<PgClient> pooled) throws InterruptedException {
        Recording recording = server.recording();
        recording.clear();
        long prepares = recording.prepares.get();
        long executions = recording.executions.get();
        PgClient.Outcome[] outcomes = new PgClient.Outcome[CLAIMS];
        var done = new CountDownLatch(CLAIMS);
        var next = new AtomicInteger();
        var random = new SplittableRandom(7);
        var cuts = new AtomicInteger();
        IntConsumer[] run = new IntConsumer[1];
        PgClient[] all = pooled.toArray(PgClient[]::new);
        run[0] = slot -> {
            int n = next.getAndIncrement();
            if (n >= CLAIMS) {
                return;
            }
            if (n % (CLAIMS / CUTS) == 0) {
                server.loop.run(() -> {
                    if (server.cutOne(random)) {
                        cuts.incrementAndGet();
                    }
                });
            }
            all[slot].play(claim("claim-" + n + "."), o -> {
                outcomes[n] = o;
                done.countDown();
                if (all[slot].gone()) {     // a client whose connection ended logs in again
                    all[slot] = PgClient.connect(load, at, "app", "db", c -> c.play(PREPARE, p -> run[0].accept(slot)));
                } else {
                    run[0].accept(slot);
                }
            });
        };
        load.run(() -> {
            for (int i = 0; i < all.length; i++) {
                run[0].accept(i);
            }
        });
        if (!done.await(25, TimeUnit.SECONDS)) {
            promises.keep(false, "claims without an answer: " + done.getCount());
        }
        Thread.sleep(100);                    // ends that are on their way to the recording
        var committed = new LinkedHashMap<String, Integer>();
        var ran = new LinkedHashMap<String, Integer>();
        for (Recording.Executed e : recording.executed()) {
            int from = e.sql.indexOf("claim-");
            if (from >= 0) {
                String key = e.sql.substring(from, e.sql.indexOf('.', from) + 1);
                ran.merge(key, 1, Integer::sum);
                if (e.fate == Recording.Fate.COMMITTED) {
                    committed.merge(key, 1, Integer::sum);
                }
            }
        }
        int good = 0;
        int unknown = 0;
        int refused = 0;
        int lost = fault.equals("lost") ? 1 : 0;
        int twice = 0;
        for (int n = 0; n < CLAIMS; n++) {
            String key = "claim-" + n + ".";
            PgClient.Outcome o = outcomes[n];
            int times = committed.getOrDefault(key, 0);
            twice += times > 1 || ran.getOrDefault(key, 0) > 1 ? 1 : 0;
            if (o == null) {
                lost++;
            } else if (o.good() && "COMMIT".equals(o.tag())) {
                good++;
                lost += times == 1 ? 0 : 1;
            } else if ("08007".equals(o.code())) {
                unknown++;
            } else {
                refused++;
                lost += times == 0 ? 0 : 1;   // said to have had no effect, and had one
            }
        }
        double share = (recording.prepares.get() - prepares) / (double) Math.max(1, recording.executions.get() - executions)
                + (fault.equals("prepares") ? 1 : 0);
        promises.put("claims", CLAIMS);
        promises.put("cuts", cuts.get());
        promises.put("claims_committed", good);
        promises.put("claims_unknown", unknown);
        promises.put("claims_without_effect", refused);
        promises.put("claims_lost", lost);
        promises.put("claims_twice", twice);
        promises.put("prepares_by_execution", Promises.round(share));
        promises.keep(lost == 0, lost + " transactions lost");
        promises.keep(twice == 0, twice + " transactions ran twice");
        promises.keep(cuts.get() >= CUTS * 0.9, "only " + cuts.get() + " cuts were made");
        promises.keep(share <= 0.03, "prepares are " + Promises.round(share) + " of executions, promised 0.03 at most");
    }
}
