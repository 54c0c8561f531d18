package crankspar.pooling;

import crankspar.Router;
import crankspar.core.CancelRouter;
import crankspar.core.Counters;
import crankspar.core.Front;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.net.MemberAddresses;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import crankspar.net.Listener;
import crankspar.net.MemoryBudget;
import crankspar.net.Pool;
import crankspar.pg.PgFront;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import org.pcollections.PMap;

/**
 * The pooling front. It accepts clients, queues their transactions for connection slots and submits each one
 * as a request to the core. The decision module handles these requests by the same rules as on every front.
 */
public final class PoolingFront implements Front, ClientContext {
    /** How often waits, logins and transactions are checked against their limits. */
    private static final double SWEEP_INTERVAL_MS = 50;
    /** The delay before the listener is reopened after a failure. */
    private static final double LISTEN_RETRY_MS = 50;

    private final EventLoop loop;
    private final Counters counters;
    private final Route route;
    private final Pooler<OpeningBatch, Answer> pooler;
    private final ServerConnections servers;
    private final Console console = new Console(this);
    private final LongTexts longTexts = new LongTexts();
    private final SecureRandom secrets = new SecureRandom();
    private final Map<Integer, Client> clients = new LinkedHashMap<>();
    private final Set<Client> loggingIn = new LinkedHashSet<>();
    private final Map<String, AdmissionQueue> queues = new HashMap<>();
    private final Map<Long, Client> byTicket = new HashMap<>();
    private final CancelRouter cancels;
    private Setup setup;
    private InetSocketAddress address;
    private Listener listener;
    private int nextProcess;
    private long nextTicket;
    private long bufferedBytes;
    private boolean draining, stopping;

    private PoolingFront(EventLoop loop, Router.Settings settings, Counters counters, Pooler<OpeningBatch, Answer> pooler,
                         ServerConnections servers, Setup setup) {
        this.loop = loop;
        this.counters = counters;
        this.pooler = pooler;
        cancels = new CancelRouter(loop, counters, "pooling_cancels", this::cancelLocal);
        this.servers = servers;
        this.setup = setup;
        route = new Route(settings);
        setup.databases().values().forEach(
                d -> queues.put(d.name(), new AdmissionQueue(d, setup.limits().maxWaiting())));
        loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }

    /** A front with its core and connections; the caller passes member updates to both. */
    public record Parts(PoolingFront front, Pooler<?, ?> core, MemberAddresses connections) { }

    /**
     * Builds a front with its core. Session marks are kept per client and sent with each request.
     *
     * @param servers the maximum number of connections to servers
     */
    public static Parts build(EventLoop loop, Router.Settings settings, Counters counters, Ports.Discovery discovery,
                              BiFunction<Router.Settings, Router.Actions, Router> routerFactory, Setup setup, int servers) {
        Router.Settings coreSettings = CoreSettings.of(settings);
        var probes = new Pool<>(loop, counters, () -> PgFront.dial(counters, loop.memory()), PgFront.probe(), settings.limits().connectTimeout(),
                settings.limits().connectionIdleTimeout(), Math.max(16, servers / 10));
        var connections = new ServerConnections(loop, counters, probes, setup, settings.limits().connectTimeout(), servers,
                new java.util.SplittableRandom(settings.seed()));
        var core = new Pooler<>(coreSettings, loop, connections, discovery, counters, routerFactory);
        return new Parts(new PoolingFront(loop, coreSettings, counters, core, connections, setup), core, connections);
    }

    public InetSocketAddress listen(InetSocketAddress at) throws IOException {
        listener = loop.listen(at, this::accept);
        address = listener.address();
        return address;
    }

    /** Applies changed settings without losing clients; listener settings take effect at the next start. */
    public void reload(Setup changed) {
        setup = changed;
        servers.configure(changed);
        changed.databases().values().forEach(d -> {
            AdmissionQueue known = queues.get(d.name());
            if (known == null) {
                queues.put(d.name(), new AdmissionQueue(d, changed.limits().maxWaiting()));
            } else {
                known.configure(d, changed.limits().maxWaiting());
                apply(known.expireAndGrant(loop.now()));
            }
        });
        counters.add("pooling_reloads");
    }

    /** Returns a handler for a new client connection; at the client limit, one that only sends an error. */
    private ConnectionHandler accept() {
        if (clients.size() >= setup.limits().maxClients()) {
            counters.add("pooling_clients_refused");
            return new ConnectionHandler() {
                @Override public void opened(Connection out) {
                    out.write(Frame.error("FATAL", "53300", "more than " + setup.limits().maxClients() + " clients", null).wire());
                    out.finish();
                }
                @Override public void received(java.nio.ByteBuffer in) { in.position(in.limit()); }
                @Override public void ended(String why) { }
            };
        }
        counters.add("pooling_clients");
        do {
            nextProcess = nextProcess == Integer.MAX_VALUE ? 1 : nextProcess + 1;
        } while (clients.containsKey(nextProcess));
        var client = new Client(this, nextProcess, secrets.nextInt());
        clients.put(nextProcess, client);
        loggingIn.add(client);
        return client;
    }

    // ---- Called by clients.
    @Override public Setup setup() { return setup; }
    @Override public Setup.Database database(String name) { return setup.databases().get(name); }
    @Override public Route route() { return route; }
    @Override public PMap<String, String> reported(ServerKey key) { return servers.reportedParameters(key); }
    @Override public boolean draining() { return draining; }
    @Override public void count(String name) { counters.add(name); }
    @Override public double now() { return loop.now(); }
    @Override public LongTexts longTexts() { return longTexts; }
    @Override public void runAfter(double ms, Runnable work) { loop.after(ms, work); }
    @Override public void runLater(Runnable work) { loop.run(work); }
    @Override public void runBehind(Runnable work) { loop.runBehind(work); }
    @Override public List<Frame> console(String sql) { return console.execute(sql); }

    @Override public boolean reserveBytes(int more) {
        bufferedBytes += more;
        return more <= 0 || bufferedBytes <= setup.limits().maxBufferedBytes();
    }

    @Override public void refuse(Client client, String why) { pooler.refusedByFront(client.request, why); }
    @Override public MemoryBudget memory() { return loop.memory(); }

    @Override public void submit(Client client, OpeningBatch opening) {
        client.ticket = ++nextTicket;
        byTicket.put(client.ticket, client);
        double deadline = client.submittedAt() + opening.way.timeoutMs();
        apply(queues.get(client.databaseName()).acquire(loop.now(), client.user(), client.ticket, deadline));
    }

    private void apply(List<AdmissionQueue.Decision> decisions) {
        for (AdmissionQueue.Decision e : decisions) {
            Client client = byTicket.get(e.ticket());
            if (client == null) {
                continue;
            }
            if (e instanceof AdmissionQueue.Decision.Refused r) {
                byTicket.remove(e.ticket());
                client.ticket = 0;
                counters.add("pooling_waits_over");
                client.placeRefused(r.reason());
            } else if (e instanceof AdmissionQueue.Decision.Granted) {
                submit(client);
            }
        }
    }

    private void submit(Client client) {
        OpeningBatch opening = client.opening();
        Route.RoutingDecision way = opening.way;
        client.placeAssigned();
        var ask = new Ports.ClientRequest<>(way.requestClass(), client.submittedAt() + way.timeoutMs(), "client-" + client.process(), way.minPosition(),
                way.group(), opening);
        pooler.submit(ask, client);
    }

    @Override public void requestEnded(Client client) { free(client); }

    private void free(Client client) {
        long ticket = client.ticket;
        client.ticket = 0;
        if (ticket != 0) {
            byTicket.remove(ticket);
            AdmissionQueue at = queues.get(client.databaseName());
            at.cancel(client.user(), ticket);
            // Deferred: the next client must not run inside the call that ends this one.
            loop.run(() -> apply(at.release(loop.now(), ticket)));
        }
    }

    @Override public void withdraw(Client client) {
        loggingIn.remove(client);
        String request = client.request;
        client.request = null;
        if (request != null) {
            pooler.clientLeft(request);
        }
        free(client);
    }

    @Override public void closed(Client client) {
        clients.remove(client.process());
        loggingIn.remove(client);
    }

    /** Cancels a client of this process. All 32 bits of the secret must match, against guessed keys. */
    private boolean cancelLocal(int process, int secret) {
        Client client = clients.get(process);
        boolean known = client != null && client.secret() == secret;
        if (known) {
            client.cancelled();
        }
        return known;
    }

    @Override public void cancel(int process, int secret) { cancels.cancel(process, secret); }

    /** The router that shares cancel requests with other processes of this pooler. */
    public CancelRouter cancels() { return cancels; }

    @Override public void cancel(Server server) { servers.cancel(server); }

    private void sweep() {
        double now = loop.now();
        Setup.Limits limits = setup.limits();
        queues.values().forEach(p -> apply(p.expireAndGrant(now)));
        for (Client c : new ArrayList<>(loggingIn)) {
            if (c.state() != ClientState.LOGIN) {
                loggingIn.remove(c);
            } else if (now - c.connectedAt() > limits.loginTimeout()) {
                counters.add("pooling_logins_late");
                c.fatal("08P01", "no complete startup message arrived in time");
            }
        }
        for (Server s : servers.connections()) {
            Lease lease = s.lease();
            if (lease == null || !lease.bound()) {
                continue;
            }
            Client client = lease.opening().client;
            boolean perTransaction = lease.opening().mode == Setup.Mode.TRANSACTION;
            if (now - lease.idleInTransactionSince() > limits.idleInTransactionTimeout()) {
                counters.add("pooling_idle_in_transaction");
                client.fatal("25P03", "idle in transaction for longer than it may");
            } else if (perTransaction && lease.inTransaction() && now - lease.transactionSince() > limits.transactionTimeout()) {
                counters.add("pooling_transactions_late");
                client.fatal("25P04", "the transaction takes longer than it may");
            }
        }
        loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }

    // ---- For the console and metrics.
    Collection<Client> clients() { return clients.values(); }
    ServerConnections servers() { return servers; }
    Map<String, AdmissionQueue> queues() { return queues; }
    Counters counters() { return counters; }

    /** Current gauge values, by metric name. */
    public Map<String, Long> gauges() {
        var all = new LinkedHashMap<String, Long>();
        all.put("pooling_clients", (long) clients.size());
        all.put("pooling_clients_waiting", queues.values().stream().mapToLong(AdmissionQueue::waiting).sum());
        all.put("pooling_places_held", queues.values().stream().mapToLong(AdmissionQueue::held).sum());
        all.put("pooling_servers", (long) servers.connections().size());
        all.put("pooling_servers_idle", servers.connections().stream().filter(s -> s.state() == ConnectionState.IDLE).count());
        all.put("pooling_buffers_bytes", bufferedBytes);
        return all;
    }

    /** Pauses or resumes the start of transactions at a database; returns false if it is unknown. */
    boolean setPaused(String name, boolean paused) {
        AdmissionQueue at = queues.get(name);
        if (at == null) {
            return false;
        }
        if (paused) {
            at.pause();
        } else {
            apply(at.resume(loop.now()));
        }
        return true;
    }

    // ---- Called by the daemon.
    @Override public void stopping() { stopping = true; }

    @Override public void drain() {
        draining = true;
        listener.close();
        new ArrayList<>(clients.values()).forEach(Client::closeIfIdle);
    }

    @Override public void resume() {
        if (!draining || stopping) {
            return;
        }
        try {
            listener = loop.listen(address, this::accept);
            draining = false;
        } catch (IOException e) {
            counters.add("pooling_listener_failures");
            loop.after(LISTEN_RETRY_MS, this::resume);
        }
    }

    @Override public boolean closed() { return clients.isEmpty(); }
}
