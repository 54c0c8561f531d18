package crankspar.cli;

import crankspar.policy.Balance;
import crankspar.Router;
import crankspar.config.Config;
import crankspar.config.Operator;
import crankspar.core.Counters;
import crankspar.core.Front;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.discovery.MemberList;
import crankspar.discovery.Watch;
import crankspar.duties.SharedProbes;
import crankspar.duties.SharedWatch;
import crankspar.handover.SessionRing;
import crankspar.hearsay.Hearing;
import crankspar.mgmt.Calls;
import crankspar.mgmt.Operations;
import crankspar.net.Loop;
import crankspar.net.Pool;
import crankspar.pg.PgAnswer;
import crankspar.pg.PgFront;
import crankspar.pg.Statement;
import crankspar.pooling.PoolingFront;
import crankspar.rest.RestFront;
import crankspar.store.Replication;
import crankspar.store.SharedEntries;
import crankspar.store.Snapshots;
import crankspar.store.Store;
import crankspar.store.StoreResource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/** Puts the parts together on one loop: the store, and a core for each front that is set up. */
public final class Daemon implements AutoCloseable, Operations {
    private static final Logger LOG = Logger.getLogger(Daemon.class.getName());
    /** A stop is followed by a kill no sooner than the longest deadline, or this (ms), ... */
    private static final double KILL_MOST = 3000;
    /** ... and this much later. */
    private static final double KILL_AFTER = 700;
    /** How long before the kill the last answer is out, and how long before that the last request is taken (ms). */
    private static final double SPARE = 300;
    private static final double LAST_REQUEST = 700;
    /**
     * After the call to drain (ms): the front asks every 0.1 s, and new connections come for 0.2 s after it
     * has heard the first no. What a busy machine adds is allowed for.
     */
    private static final double STILL_OPEN = 700;
    /** A successor waits so long (ms) for discovery's list, and then for the first probes' answers. */
    private static final double LIST_MOST = 1000;
    private static final double LOOK_ROUND = 300;
    /** How often an end looks whether all is answered (ms). */
    private static final double END_LOOK = 20;
    /** Shares of the sockets for clients and for servers; the rest is for the runtime's own files. */
    private static final double CLIENTS = 0.55;
    private static final double SERVERS = 0.35;
    /** What one process may hold where the platform sets no limit. */
    private static final int SOCKETS = 1024;

    private final Loop loop;
    private final Counters counters = new Counters();
    private final Store store;
    private final Presence presence;
    private SharedEntries marks;
    /** The fronts that are set up, in the order in which they were built. */
    private final List<Served> fronts = new ArrayList<>();
    private final List<Router.Settings> planned = new ArrayList<>();
    private Pooler<Statement, PgAnswer> platformCore;
    private Watch pgWatch;
    private Watch restWatch;
    private Watch poolingWatch;
    private PoolingFront pooling;
    private final Peering peering;
    private volatile Auditing auditing;
    private SharedWatch sharedWatch;
    private boolean sharesWatch;
    private InetSocketAddress poolingAddress;
    /** Members to start from: what a call may name before discovery's list is here. */
    private final Set<String> known = new HashSet<>();
    private InetSocketAddress mgmtAddress;
    private InetSocketAddress pgAddress;
    private InetSocketAddress restAddress;
    private double longest;
    /** On the loop: both fronts stand. */
    private boolean serving, leaving;
    private int drains;

    /** A front with its core and its members. */
    private record Served(Front front, Pooler<?, ?> core, Directory members) { }

    /** Either may be null, not both: the platform's front needs the one, the REST front the other. */
    public Daemon(Config config, Operator operator) throws Config.Bad, IOException, InterruptedException {
        this(config, operator, null);
    }

    /** {@code shared} is where processes of this pooler meet while one replaces the other; it may be null. */
    public Daemon(Config config, Operator operator, Path shared) throws Config.Bad, IOException, InterruptedException {
        Operator.Rest setup = operator == null ? null : operator.rest();
        Operator.Pooling pooling = operator == null ? null : operator.pooling();
        if (config == null && setup == null && pooling == null) {
            throw new Config.Bad("rest", "nothing to serve: no platform configuration, no REST and no pooling front");
        }
        Router.Settings restSettings = operator != null && operator.settings() != null ? operator.settings()
                : config != null ? config.settings() : null;
        if (setup != null && restSettings == null) {
            throw new Config.Bad("settings", "not set");
        }
        if (config != null) {
            planned.add(config.settings());
            config.known().members().forEach(m -> known.add(m.id()));
        }
        if (setup != null) {
            planned.add(restSettings);
            setup.members().members().forEach(m -> known.add(m.id()));
        }
        if (pooling != null) {
            planned.add(operator.settings());
            pooling.members().members().forEach(m -> known.add(m.id()));
        }
        sharesWatch = operator != null && operator.membership() != null && operator.membership().watch();
        loop = new Loop("loop");
        loop.onPause(ms -> {
            counters.add("pauses");
            if (auditing != null) {
                auditing.paused(ms);
            }
        });
        peering = new Peering(loop, counters);
        String node = operator != null ? operator.name() : config.name();
        store = new Store(node, node + "#" + Long.toHexString(ThreadLocalRandom.current().nextLong()));
        presence = new Presence(shared, store.node());
        try {
            if (shared != null) {
                loop.runAndWait(() -> marks = new SharedEntries(loop, store,
                        shared.resolve("crankspar-" + Integer.toHexString(store.node().hashCode()) + ".marks"),
                        List.of(Directory.DRAIN, Directory.RETURNED)));
            }
            InetSocketAddress mgmt = config != null && config.mgmt() != null ? config.mgmt()
                    : operator != null ? operator.mgmt() : null;
            if (mgmt != null) {
                mgmtAddress = new Calls(loop, counters, this).listen(mgmt);
            }
            if (config != null) {
                long began = System.nanoTime();
                int answered = new Warmup().run(config.settings(), config.known().members(),
                        presence.another() ? Warmup.SUCCESSOR_MOST : Warmup.MOST);
                LOG.info("warm after " + (System.nanoTime() - began) / 1_000_000 + " ms, " + answered + " served");
            }
            keepConfiguration(config, operator);
            double share = config != null && setup != null ? 0.5 : 1; // two fronts halve the sockets
            double sockets = share * (config != null ? config.sockets() : SOCKETS);
            if (config != null) {
                platform(config, shared, (int) (sockets * CLIENTS), (int) (sockets * SERVERS));
            }
            if (setup != null) {
                rest(setup, restSettings, (int) (sockets * CLIENTS), (int) (sockets * SERVERS));
            }
            if (pooling != null) {
                pooling(pooling, operator.settings());
            }
            if (operator != null && !operator.store().peers().isEmpty()) {
                new Replication(loop, store, counters, operator.store().periodMs(), operator.store().peers());
            }
            if (operator != null && operator.membership() != null) {
                peering.share(operator.membership(), config, planned.get(0), // its datagrams have the peers' port to themselves
                        fronts.stream().map(f -> new SharedProbes.Client(f.core(), f.members()::running)).toList(), sharedWatch);
            } else if (config != null && config.peers() != null && config.settings().limits().mayTell()) {
                peering.hear(config.peers(), config.settings().me(), fronts.get(0).core());
            }
            if (operator != null && operator.audit() != null) {
                audit(operator, config);
            }
            presence.announce();
            loop.run(() -> serving = true);
        } catch (IOException | RuntimeException e) {
            loop.close();
            throw e;
        }
    }

    /** The store holds what the program was given, beside what it learns. */
    private void keepConfiguration(Config config, Operator operator) throws IOException, InterruptedException {
        if (operator != null && operator.store().snapshot() != null) {
            new Snapshots(loop, store, operator.store().snapshot());
        }
        loop.runAndWait(() -> {
            try {
                if (config != null) {
                    store.put("config/" + store.node() + "/platform", config.text());
                }
                if (operator != null) {
                    store.put("config/" + store.node() + "/operator", operator.text());
                }
            } catch (Store.Refused e) {
                LOG.warning("the configuration is not kept: " + e.getMessage());
            }
        });
    }

    private void platform(Config config, Path shared, int clients, int servers) throws IOException, InterruptedException {
        var settings = config.settings();
        var pool = new Pool<Statement, PgAnswer>(loop, counters, () -> PgFront.dial(counters), PgFront.probe(),
                settings.limits().dialTimeout(), settings.limits().connIdle(), servers);
        var later = new Directory[1];
        var listed = new CountDownLatch(1);
        pgWatch = new Watch(loop, config.discovery(), config.known().revision(), counters, Watch.Terms.of(settings), list -> {
            later[0].listed(list);
            listed.countDown();
        }, () -> later[0].watchLost());
        var core = new Pooler<Statement, PgAnswer>(settings, loop, pool, watching(pgWatch), counters, Hearing.before(Balance::new));
        if (shared != null && settings.sessionMarks() == Router.SessionMarks.REMEMBERED) {
            core.sessions(SessionRing.open(shared.resolve("crankspar-" + Integer.toHexString(store.node().hashCode()) + ".sessions")));
        }
        var front = new PgFront(loop, settings, counters, core, clients);
        loop.runAndWait(() -> {
            later[0] = new Directory(loop, settings.rules().rampTime(), store, "pg", pool, core);
            follow(pgWatch, settings, later[0]);
            later[0].start(config.known());
        });
        if (presence.another()) {
            LOG.info("another process serves here: this one takes over once it has the list");
            listed.await((long) LIST_MOST, TimeUnit.MILLISECONDS);
            Thread.sleep((long) LOOK_ROUND);
        }
        platformCore = core;
        pgAddress = front.listen(config.listen());
        fronts.add(new Served(front, core, later[0]));
        wait(settings);
        LOG.info(config.name() + " listens at " + pgAddress + ", calls at " + mgmtAddress + ", discovery at "
                + config.discovery());
    }

    private void rest(Operator.Rest setup, Router.Settings settings, int clients, int servers)
            throws IOException, InterruptedException {
        var later = new Directory[1];
        restWatch = setup.discovery() == null ? null : new Watch(loop, setup.discovery(), setup.members().revision(),
                counters, Watch.Terms.of(settings), list -> later[0].listed(list), () -> later[0].watchLost());
        Ports.Discovery discovery = restWatch == null ? on -> { } : watching(restWatch);
        RestFront.Parts rest = RestFront.build(loop, settings, counters, discovery, Balance::new, clients, servers);
        rest.front().add(StoreResource.PATH, new StoreResource(store, counters));
        loop.runAndWait(() -> {
            later[0] = new Directory(loop, settings.rules().rampTime(), store, "rest", rest.pool(), rest.pooler());
            follow(restWatch, settings, later[0]);
            later[0].start(setup.members());
            if (setup.discovery() == null) {
                later[0].listed(setup.members()); // a fixed list is the present one
            }
        });
        restAddress = rest.front().listen(setup.listen());
        fronts.add(new Served(rest.front(), rest.pooler(), later[0]));
        wait(settings);
        LOG.info("the REST front listens at " + restAddress);
    }

    private void pooling(Operator.Pooling setup, Router.Settings settings) throws IOException, InterruptedException {
        var later = new Directory[1];
        poolingWatch = setup.discovery() == null ? null : new Watch(loop, setup.discovery(), setup.members().revision(),
                counters, Watch.Terms.of(settings), list -> later[0].listed(list), () -> later[0].watchLost());
        Ports.Discovery discovery = poolingWatch == null ? on -> { } : watching(poolingWatch);
        PoolingFront.Parts parts = PoolingFront.build(loop, settings, counters, discovery, Balance::new, setup.setup(), setup.servers());
        loop.runAndWait(() -> {
            later[0] = new Directory(loop, settings.rules().rampTime(), store, "pooling", parts.connections(), parts.core());
            follow(poolingWatch, settings, later[0]);
            later[0].start(setup.members());
            if (setup.discovery() == null) {
                later[0].listed(setup.members()); // a fixed list is the present one
            }
        });
        pooling = parts.front();
        poolingAddress = pooling.listen(setup.setup().listen());
        fronts.add(new Served(pooling, parts.core(), later[0]));
        wait(settings);
        LOG.info("the pooling front listens at " + poolingAddress);
    }

    /** Where lists are pushed nobody asks for a watch, and none may be missing; elsewhere the module says when. */
    private static void follow(Watch watch, Router.Settings settings, Directory members) {
        if (watch != null && !settings.askDiscovery()) {
            members.await();
            watch.onWord(members::word);
            watch.watch(true);
        }
    }

    /** The first front's watch is shared where that is set; further ones keep their own. */
    private Ports.Discovery watching(Watch watch) {
        if (!sharesWatch || sharedWatch != null) {
            return watch;
        }
        sharedWatch = new SharedWatch(watch);
        return sharedWatch;
    }

    private void audit(Operator operator, Config config) throws Config.Bad, IOException, InterruptedException {
        Watch watch = pgWatch != null ? pgWatch : restWatch != null ? restWatch : poolingWatch;
        auditing = new Auditing(new Auditing.Parts(loop, counters, store, peering, fronts.stream().map(Served::front).toList(),
                fronts.stream().map(Served::members).toList(), watch, () -> leaving), operator.audit(), config, config != null ? config.name() : operator.name(), planned.get(0));
        if (platformCore != null) {
            auditing.attach(platformCore, statement -> statement.names().get("id"));
        } else {
            auditing.attach(fronts.get(0).core(), query -> null);
        }
    }

    /** A stop waits for the longest that any front's clients do. */
    private void wait(Router.Settings settings) {
        longest = Math.max(longest,
                settings.classes().stream().mapToDouble(Router.RequestClass::giveUp).max().orElse(0));
    }

    public InetSocketAddress pgAddress() { return pgAddress; }
    public InetSocketAddress restAddress() { return restAddress; }
    public InetSocketAddress poolingAddress() { return poolingAddress; }
    public InetSocketAddress mgmtAddress() { return mgmtAddress; }

    /**
     * Takes over what has changed in files read anew: where each front's discovery is, and all of the pooling front's
     * but its listener. Everything else of
     * them holds from the next start on. Clients, requests and the known members are not touched.
     */
    public void reload(Config config, Operator operator) {
        loop.run(() -> {
            counters.add("reloads");
            if (pgWatch != null && config != null) {
                pgWatch.moveTo(config.discovery());
            }
            Operator.Rest setup = operator == null ? null : operator.rest();
            if (restWatch != null && setup != null && setup.discovery() != null) {
                restWatch.moveTo(setup.discovery());
            }
            if (peering.shared() != null && operator != null && operator.membership() != null) {
                peering.shared().keys(operator.membership().keys());
            }
            Operator.Pooling pools = operator == null ? null : operator.pooling();
            if (pooling != null && pools != null) {
                pooling.set(pools.setup());
                if (poolingWatch != null && pools.discovery() != null) {
                    poolingWatch.moveTo(pools.discovery());
                }
            }
            if (auditing != null) {
                auditing.reloaded(config, pgWatch);
            }
        });
    }

    /**
     * Ends in order: still open, then nothing new, then the last answers. Clients use the connections that
     * they have for as long as these stay open. Guards against a gap: poolers are restarted in turn, and one
     * that closed 0.6 s after its signal was gone for 2 s before the one before it was back.
     */
    public void stop() throws InterruptedException {
        if (peering.shared() != null) {
            loop.run(peering.shared()::leave);
        }
        double answered = Math.min(longest, KILL_MOST) + KILL_AFTER - SPARE;
        if (presence.another()) {
            handOver(answered);
            return;
        }
        double open = Math.max(KILL_AFTER - SPARE, answered - LAST_REQUEST);
        var quiet = new CountDownLatch(fronts.size());
        loop.run(() -> fronts.forEach(f -> {
            f.front().stopping();
            f.core().answerBy(loop.now() + answered);
        }));
        loop.after(open, () -> fronts.forEach(f -> {
            f.front().drain();
            f.core().whenQuiet(() -> loop.after(50, quiet::countDown)); // the last bytes leave
        }));
        quiet.await((long) (open + longest + 500), TimeUnit.MILLISECONDS);
        if (auditing != null) {
            auditing.close();
        }
        closeMarks();
        presence.close();
        loop.runAndWait(() -> System.err.println("counters " + counters));
    }

    // ---- What operators ask, on the loop.
    @Override public boolean ready() { return serving && !leaving && !fenced(); }

    private boolean fenced() { return auditing != null && auditing.fenced(); }

    @Override public String audit(String page, java.util.Map<String, String> query) { return auditing == null ? null : auditing.page(page, query); }

    @Override public List<Figure> figures() {
        var all = new ArrayList<Figure>();
        var classes = new java.util.LinkedHashMap<String, long[]>();
        long tries = 0;
        long active = 0;
        Set<String> listed = new HashSet<>();
        Set<String> avoided = new HashSet<>();
        for (int i = 0; i < planned.size(); i++) {
            tries += count(classes, planned.get(i), serving ? fronts.get(i).core() : null);
        }
        if (!serving) {                       // all there is to come, at nought
            listed.addAll(known);
            avoided.addAll(store.under(Directory.DRAIN).keySet());
        }
        for (Served f : serving ? fronts : List.<Served>of()) {
            active += f.core().owing();
            listed.addAll(f.members().ids());
            avoided.addAll(f.core().avoided());
        }
        classes.forEach((name, n) -> {
            all.add(Figure.count("ok." + name, n[0]));
            all.add(Figure.count("shed." + name, n[1]));
            all.add(Figure.count("errors." + name, n[2]));
        });
        all.add(Figure.count("tries", tries));
        all.add(Figure.gauge("active", active));
        all.add(Figure.gauge("pool_size", listed.size()));
        avoided.retainAll(listed);
        all.add(Figure.gauge("pool_ejected", avoided.size()));
        if (serving && peering.shared() != null) {
            peering.shared().figures().forEach((name, n) -> all.add(Figure.gauge(name, n)));
            peering.shared().counts().forEach((name, n) -> all.add(Figure.count(name, n)));
        }
        for (Served f : serving ? fronts : List.<Served>of()) {
            f.core().counts().forEach((name, n) -> all.add(Figure.count(name, n)));
        }
        if (auditing != null) {
            auditing.figures().forEach((name, n) -> all.add(Figure.gauge(name, n)));
            auditing.counts().forEach((name, n) -> all.add(Figure.count(name, n)));
        }
        if (serving && pooling != null) {
            pooling.figures().forEach((name, n) -> all.add(Figure.gauge(name, n)));
        }
        return all;
    }

    private static long count(java.util.Map<String, long[]> classes, Router.Settings settings, Pooler<?, ?> core) {
        for (int i = 0; i < settings.classes().size(); i++) {
            long[] n = classes.computeIfAbsent(settings.classes().get(i).name(), k -> new long[3]);
            n[0] += core == null ? 0 : core.figures().ok(i);
            n[1] += core == null ? 0 : core.figures().shed(i);
            n[2] += core == null ? 0 : core.figures().errors(i);
        }
        return core == null ? 0 : core.figures().tries();
    }

    @Override public Done disable(String id) { return marked(id, "by hand"); }

    @Override public Done enable(String id) { return marked(id, null); }

    /**
     * The operator's mark is the store's, whoever sets it; an id is known while it is listed or marked. A
     * process that is still starting takes it too: operators call the new one as soon as it is there, and the
     * one that serves hears of it through the shared file.
     */
    private Done marked(String id, String why) {
        if (store.get(Directory.DRAIN + id) == null && !(serving ? listed(id) : known.contains(id))) {
            return serving ? Done.UNKNOWN_ID : Done.NOT_NOW;
        }
        try {
            store.put(Directory.DRAIN + id, why);
            return Done.YES;
        } catch (Store.Refused e) {
            LOG.warning("no mark: " + e.getMessage());
            return Done.NOT_NOW;
        }
    }

    private boolean listed(String id) {
        return fronts.stream().anyMatch(f -> f.members().lists(id));
    }

    /** Who asks is told no at once; the doors stay open until nobody is sent here any more. */
    @Override public Done drain() {
        if (!serving) {
            return Done.NOT_NOW;
        }
        if (!leaving) {
            LOG.info("an operator drains this pooler");
            leaving = true;
            int mine = ++drains;
            fronts.forEach(f -> f.front().leaving(true));
            loop.after(STILL_OPEN, () -> {
                if (leaving && mine == drains) {
                    fronts.forEach(f -> f.front().drain());
                }
            });
        }
        return Done.YES;
    }

    @Override public Done resume() {
        if (!serving) {
            return Done.NOT_NOW;
        }
        if (leaving) {
            LOG.info("an operator has this pooler serve again");
            leaving = false;
            fronts.forEach(f -> {
                f.front().leaving(fenced());
                if (!fenced()) {
                    f.front().resume();
                }
            });
        }
        return Done.YES;
    }

    /**
     * Ends in favour of a process that serves already: nothing new, idle clients are closed gently, and the end
     * comes with the last answer. Guards against requests that end at the door, and against the kill.
     */
    private void handOver(double answered) throws InterruptedException {
        LOG.info("another process serves: this one ends");
        var done = new CountDownLatch(1);
        loop.run(() -> {
            double until = loop.now() + answered;
            fronts.forEach(f -> {
                f.core().answerBy(until);
                f.front().drain();
            });
            look(until, done);
        });
        done.await((long) (answered + SPARE), TimeUnit.MILLISECONDS);
        if (auditing != null) {
            auditing.close();
        }
        closeMarks();
        presence.close();
        loop.runAndWait(() -> System.err.println("counters " + counters));
    }

    private void look(double until, CountDownLatch done) {
        boolean late = loop.now() >= until;
        if (late) {
            fronts.forEach(f -> f.core().giveUp());
        }
        if (late || fronts.stream().allMatch(f -> f.core().owing() == 0 && f.front().left())) {
            loop.after(100, done::countDown); // the last bytes leave
        } else {
            loop.after(END_LOOK, () -> look(until, done));
        }
    }

    @Override public void close() {
        presence.close();
        if (auditing != null) {
            auditing.close();
        }
        peering.close();
        closeMarks();
        loop.close();
    }

    private void closeMarks() {
        if (marks != null) {
            marks.close();
        }
    }
}
