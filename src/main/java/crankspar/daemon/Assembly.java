package crankspar.daemon;

import crankspar.Router;
import crankspar.config.Config;
import crankspar.config.Operator;
import crankspar.core.CancelRouter;
import crankspar.core.Counters;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.core.RequestLog;
import crankspar.discovery.Watch;
import crankspar.duties.SharedProbes;
import crankspar.duties.SharedWatch;
import crankspar.gossip.GossipReceiver;
import crankspar.handover.CancelRing;
import crankspar.handover.SentIds;
import crankspar.handover.SessionRing;
import crankspar.mgmt.Calls;
import crankspar.net.EventLoop;
import crankspar.net.Pool;
import crankspar.pg.PgAnswer;
import crankspar.pg.PgFront;
import crankspar.pg.Statement;
import crankspar.policy.RequestRouter;
import crankspar.pooling.PoolingFront;
import crankspar.rest.KeyLog;
import crankspar.rest.RestFront;
import crankspar.store.Commits;
import crankspar.store.LocalStateFile;
import crankspar.store.Replication;
import crankspar.store.Store;
import crankspar.store.StoreResource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.logging.Logger;

/** Puts the parts together on one loop: the store, and a core for each front that is set up. It only builds and connects. */
final class Assembly implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Assembly.class.getName());
    /** Shares of the sockets for clients and for servers; the rest is for the runtime's own files. */
    private static final double CLIENTS = 0.55;
    private static final double SERVERS = 0.35;
    /** What one process may hold where the platform sets no limit. */
    private static final int SOCKETS = 1024;
    /** Changes of the store that nobody waits for are written to its snapshot together, this long (ms) after the first. */
    private static final double SNAPSHOT_DELAY = 500;

    final EventLoop loop;
    final RequestLog requestLog;
    final Counters counters = new Counters();
    final Store store;
    final Commits commits;
    final InstanceLock instanceLock;
    final Peering peering;
    final GracefulShutdown shutdown;
    final OperatorCalls calls;
    /** The fronts that are set up, in the order in which they were built, and the settings of those to come. */
    final List<Served> fronts = new ArrayList<>();
    final List<Router.Settings> planned = new ArrayList<>();
    /** Members to start from: what a call may name before discovery's list is here. */
    final Set<String> known = new HashSet<>();
    final InetSocketAddress mgmtAddress;
    volatile Auditing auditing;
    /** Null where poolers tell each other nothing of drains. */
    volatile DrainPropagation drainPropagation;
    PoolingFront pooling;
    /** On the loop: all fronts stand. */
    boolean serving;
    private final boolean sharesWatch;
    private SharedWatch sharedWatch;
    private Pooler<Statement, PgAnswer> platformCore;
    /** Null where there is no REST front. */
    private KeyLog keyLog;
    /** Where what operators asked for outlives this process; in the order in which they were opened. */
    private final List<LocalStateFile> stateFiles = new ArrayList<>();

    Assembly(Config config, Operator operator, Path shared) throws Config.Bad, IOException, InterruptedException {
        Router.Settings restSettings = operator != null && operator.settings() != null ? operator.settings() : config != null ? config.settings() : null;
        plan(config, operator, restSettings);
        sharesWatch = operator != null && operator.membership() != null && operator.membership().watch();
        loop = new EventLoop("loop");
        requestLog = new RequestLog(loop);
        if (config != null) {
            loop.runAndWait(() -> loop.memory().limitMemory(config.memoryMb()));
        }
        loop.onStall(ms -> {
            counters.add("pauses");
            fronts.forEach(f -> f.core().stalled());
            if (auditing != null) {
                auditing.paused(ms);
            }
        });
        peering = new Peering(loop, counters);
        String node = operator != null ? operator.name() : config.name();
        store = new Store(node, node + "#" + Long.toHexString(ThreadLocalRandom.current().nextLong()));
        commits = new Commits(store);
        instanceLock = new InstanceLock(shared, node);
        shutdown = new GracefulShutdown(this);
        calls = new OperatorCalls(this);
        try {
            if (shared != null) {
                keep(new LocalStateFile.Terms(beside(shared, ".marks"), Directory::isDrainOverride, 0, true));
            }
            InetSocketAddress mgmt = config != null && config.mgmt() != null ? config.mgmt() : operator != null ? operator.mgmt() : null;
            mgmtAddress = mgmt == null ? null : new Calls(loop, counters, calls).listen(mgmt);
            if (config != null) {
                warm(config);
            }
            keepConfiguration(config, operator);
            build(config, operator, restSettings, shared);
            connect(config, operator);
            instanceLock.announce();
            loop.runAndWait(() -> serving = true); // a call that comes right after the start overtakes work that waits
        } catch (IOException | RuntimeException e) {
            loop.close();
            throw e;
        }
    }

    private void plan(Config config, Operator operator, Router.Settings restSettings) throws Config.Bad {
        Operator.Rest rest = operator == null ? null : operator.rest();
        Operator.Pooling pools = operator == null ? null : operator.pooling();
        if (config == null && rest == null && pools == null) {
            throw new Config.Bad("rest", "nothing to serve: no platform configuration, no REST and no pooling front");
        }
        if (rest != null && restSettings == null) {
            throw new Config.Bad("settings", "not set");
        }
        if (config != null) {
            planned.add(config.settings());
            config.known().members().forEach(m -> known.add(m.id()));
        }
        if (rest != null) {
            planned.add(restSettings);
            rest.members().members().forEach(m -> known.add(m.id()));
        }
        if (pools != null) {
            planned.add(operator.settings());
            pools.members().members().forEach(m -> known.add(m.id()));
        }
    }

    private void warm(Config config) {
        long began = System.nanoTime();
        int answered = new Warmup().run(config.settings(), config.known().members(), instanceLock.another() ? Warmup.SUCCESSOR_MOST : Warmup.MOST);
        LOG.info("warm after " + (System.nanoTime() - began) / 1_000_000 + " ms, " + answered + " served");
    }

    /** The store holds what the program was given, beside what it learns. */
    private void keepConfiguration(Config config, Operator operator) throws IOException, InterruptedException {
        if (operator != null && operator.store().snapshot() != null) {
            keep(new LocalStateFile.Terms(operator.store().snapshot(), key -> true, SNAPSHOT_DELAY, false));
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

    private void keep(LocalStateFile.Terms terms) throws IOException, InterruptedException {
        LocalStateFile file = LocalStateFile.open(loop, store, counters, terms);
        stateFiles.add(file);
        loop.runAndWait(() -> commits.add(file));
    }

    /** Where processes of this pooler meet, else beside the snapshot; without either the keys end with this process. */
    private KeyLog openKeys(Operator operator, Path shared) throws IOException, InterruptedException {
        Path snapshot = operator.store().snapshot();
        Path folder = shared != null ? shared : snapshot != null ? snapshot.toAbsolutePath().getParent() : null;
        return folder == null ? KeyLog.inMemory() : KeyLog.open(loop, counters, beside(folder, ".keys"));
    }

    private Path beside(Path shared, String ending) { return shared.resolve("crankspar-" + Integer.toHexString(store.node().hashCode()) + ending); }

    private void build(Config config, Operator operator, Router.Settings restSettings, Path shared) throws IOException, InterruptedException {
        Operator.Rest rest = operator == null ? null : operator.rest();
        Operator.Pooling pools = operator == null ? null : operator.pooling();
        double sockets = (config != null && rest != null ? 0.5 : 1) * (config != null ? config.sockets() : SOCKETS); // two fronts halve them
        int clients = (int) (sockets * CLIENTS);
        int servers = (int) (sockets * SERVERS);
        var how = new Fronts(this);
        if (config != null) {
            add(how.serve(new Fronts.Plan(Fronts.PLATFORM, config.settings(), config.discovery(), config.known(), true, discovery -> {
                Router.Settings s = config.settings();
                var pool = new Pool<Statement, PgAnswer>(loop, counters, () -> PgFront.dial(counters, loop.memory()), PgFront.probe(), s.limits().connectTimeout(), s.limits().connectionIdleTimeout(), servers);
                platformCore = new Pooler<>(s, loop, pool, discovery, counters, GossipReceiver.before(RequestRouter::new));
                platformCore.setRequestNaming(statement -> statement.names().get("id"));
                if (shared != null && s.sessionMarks() == Router.SessionMarks.REMEMBERED) {
                    shareSessions(beside(shared, ".sessions"));
                }
                var front = new PgFront(loop, s, counters, platformCore, clients);
                if (shared != null) {
                    shareCancels(front.cancels(), beside(shared, ".cancel-ring"));
                    shareSentIds(front, beside(shared, ".sent-ids"));
                }
                return new Fronts.Made(front, platformCore, pool, () -> front.listen(config.listen()));
            })));
            LOG.info(config.name() + " listens at " + address(Fronts.PLATFORM) + ", calls at " + mgmtAddress + ", discovery at " + config.discovery());
        }
        if (rest != null) {
            keyLog = openKeys(operator, shared);
            add(how.serve(new Fronts.Plan(Fronts.REST, restSettings, rest.discovery(), rest.members(), false, discovery -> {
                RestFront.Parts made = RestFront.build(loop, restSettings, counters, discovery, RequestRouter::new, keyLog, clients, servers);
                made.front().add(StoreResource.PATH, new StoreResource(store, commits, counters));
                return new Fronts.Made(made.front(), made.pooler(), made.pool(), () -> made.front().listen(rest.listen()));
            })));
            LOG.info("the REST front listens at " + address(Fronts.REST));
        }
        if (pools != null) {
            add(how.serve(new Fronts.Plan(Fronts.POOLING, operator.settings(), pools.discovery(), pools.members(), false, discovery -> {
                PoolingFront.Parts made = PoolingFront.build(loop, operator.settings(), counters, discovery, RequestRouter::new, pools.setup(), pools.servers());
                pooling = made.front();
                if (shared != null) {
                    shareCancels(pooling.cancels(), beside(shared, ".pooling-cancel-ring"));
                }
                return new Fronts.Made(made.front(), made.core(), made.connections(), () -> made.front().listen(pools.setup().listen()));
            })));
            LOG.info("the pooling front listens at " + address(Fronts.POOLING));
        }
    }

    /** Without the file this process serves all the same: its sessions' marks are its own until it is replaced. */
    private void shareSessions(Path file) {
        try {
            platformCore.setSharedSessionMarks(SessionRing.open(file));
        } catch (IOException e) {
            counters.add("sessions_not_shared");
            LOG.warning("sessions' marks are not shared with a successor: " + e);
        }
    }

    /** Without the file a cancel counts only in the process that it reaches. */
    private void shareCancels(CancelRouter cancels, Path file) {
        try {
            var ring = CancelRing.open(file);
            loop.run(() -> cancels.share(ring));
        } catch (IOException e) {
            counters.add("cancels_not_shared");
            LOG.warning("cancels are not shared with a successor: " + e);
        }
    }

    /** Without the file an id that comes again is known only at the process that has sent it. */
    private void shareSentIds(PgFront front, Path file) {
        try {
            var ids = SentIds.open(file);
            loop.run(() -> front.shareSentIds(ids));
        } catch (IOException e) {
            counters.add("sent_ids_not_shared");
            LOG.warning("sent ids are not shared with a successor: " + e);
        }
    }

    private void add(Served front) {
        fronts.add(front);
        shutdown.waitsFor(front.settings());
    }

    /** The ways to other poolers, and what rests on them. */
    private void connect(Config config, Operator operator) throws Config.Bad, IOException, InterruptedException {
        if (operator != null && !operator.store().peers().isEmpty()) {
            new Replication(loop, store, counters, operator.store().periodMs(), operator.store().peers());
        }
        if (operator != null && operator.membership() != null) {
            peering.share(operator.membership(), config, planned.get(0), // its datagrams have the peers' port to themselves
                    fronts.stream().map(f -> new SharedProbes.Client(f.core(), f.members()::running)).toList(), sharedWatch);
        } else if (config != null && config.peers() != null && config.settings().limits().peerMessages()) {
            peering.hear(config.peers(), config.settings().instanceIndex(), fronts.get(0).core());
            if (operator == null || operator.audit() == null) { // the audit has its own word of drains, which two have to say
                drainPropagation = DrainPropagation.attach(loop, peering, fronts.get(0));
            }
        }
        if (operator != null && operator.audit() != null) {
            audit(operator, config);
        }
    }

    private void audit(Operator operator, Config config) throws Config.Bad, IOException, InterruptedException {
        Watch watch = fronts.stream().map(Served::watch).filter(w -> w != null).findFirst().orElse(null);
        auditing = new Auditing(new Auditing.Parts(loop, counters, store, peering, fronts.stream().map(Served::front).toList(),
                fronts.stream().map(Served::members).toList(), watch, shutdown::on), operator.audit(), config, config != null ? config.name() : operator.name(), planned.get(0));
        if (platformCore != null) {
            auditing.attach(platformCore, statement -> statement.names().get("id"));
        } else {
            auditing.attach(fronts.get(0).core(), query -> null);
        }
    }

    /** The first front's watch is shared where that is set; further ones keep their own. */
    Ports.Discovery watching(Watch watch) {
        if (!sharesWatch || sharedWatch != null) {
            return watch;
        }
        sharedWatch = new SharedWatch(watch);
        return sharedWatch;
    }

    Served front(String name) { return fronts.stream().filter(f -> f.name().equals(name)).findFirst().orElse(null); }

    /** Null where there is no such front. */
    InetSocketAddress address(String name) {
        Served front = front(name);
        return front == null ? null : front.address();
    }

    boolean fenced() { return auditing != null && auditing.fenced(); }

    /** What others must find when this process is gone: the last changes of the state, the ledger, that it no longer serves. */
    void settle() {
        if (auditing != null) {
            auditing.close();
        }
        stateFiles.forEach(LocalStateFile::close);
        if (keyLog != null) {
            keyLog.close();
        }
        instanceLock.close();
    }

    @Override public void close() {
        settle();
        peering.close();
        loop.close();
    }
}
