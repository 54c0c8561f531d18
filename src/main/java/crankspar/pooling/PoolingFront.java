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
 * The pooling front: its clients, their turns, and the requests that their transactions are. What becomes of a request
 * the module decides, under the same rules as on every front.
 */
public final class PoolingFront implements Front, ClientContext {
    private static final double SWEEP = 50;
    private static final double REOPEN = 50;

    private final EventLoop loop;
    private final Counters counters;
    private final Route route;
    private final Pooler<OpeningBatch, Answer> pooler;
    private final Servers servers;
    private final Console console = new Console(this);
    private final SecureRandom secrets = new SecureRandom();
    private final Map<Integer, Client> clients = new LinkedHashMap<>();
    private final Set<Client> unstarted = new LinkedHashSet<>();
    private final Map<String, Places> places = new HashMap<>();
    private final Map<Long, Client> tickets = new HashMap<>();
    private final CancelRouter cancels;
    private Setup setup;
    private InetSocketAddress address;
    private Listener listener;
    private int nextProcess;
    private long nextTicket;
    private long held;
    private boolean draining, stopping;

    private PoolingFront(EventLoop loop, Router.Settings settings, Counters counters, Pooler<OpeningBatch, Answer> pooler,
                         Servers servers, Setup setup) {
        this.loop = loop;
        this.counters = counters;
        this.pooler = pooler;
        cancels = new CancelRouter(loop, counters, "pooling_cancels", this::cancelHere);
        this.servers = servers;
        this.setup = setup;
        route = new Route(settings);
        setup.databases().values().forEach(d -> places.put(d.name(), new Places(d, setup.limits().waiting())));
        loop.after(SWEEP, this::sweep);
    }

    /** A front with its core: the caller feeds both with members. */
    public record Parts(PoolingFront front, Pooler<?, ?> core, MemberAddresses connections) { }

    /** Session marks are kept here, by client, and carried with each request; {@code servers} bounds connections to servers. */
    public static Parts build(EventLoop loop, Router.Settings settings, Counters counters, Ports.Discovery discovery,
                              BiFunction<Router.Settings, Router.Actions, Router> maker, Setup setup, int servers) {
        var carried = new Router.Settings(settings.seed(), settings.zone(), settings.zones(), settings.me(), settings.siblings(),
                settings.round(), settings.askDiscovery(), settings.classes(), settings.behind(), settings.patience(),
                settings.roleInList(), Router.SessionMarks.CARRIED, settings.tellsPosition(), settings.commitWaits(),
                settings.countedFrom(), settings.reports(), settings.rules(), settings.limits(), settings.prices());
        var probes = new Pool<>(loop, counters, () -> PgFront.dial(counters), PgFront.probe(), settings.limits().dialTimeout(),
                settings.limits().connIdle(), Math.max(16, servers / 10));
        var connections = new Servers(loop, counters, probes, setup, settings.limits().dialTimeout(), servers,
                new java.util.SplittableRandom(settings.seed()));
        var core = new Pooler<>(carried, loop, connections, discovery, counters, maker);
        return new Parts(new PoolingFront(loop, carried, counters, core, connections, setup), core, connections);
    }

    public InetSocketAddress listen(InetSocketAddress at) throws IOException {
        listener = loop.listen(at, this::admit);
        address = listener.address();
        return address;
    }

    /** Changed settings, without losing a client; what they say of the listener holds from the next start on. */
    public void set(Setup changed) {
        setup = changed;
        servers.set(changed);
        changed.databases().values().forEach(d -> {
            Places known = places.get(d.name());
            if (known == null) {
                places.put(d.name(), new Places(d, changed.limits().waiting()));
            } else {
                known.set(d, changed.limits().waiting());
                effects(known.tick(loop.now()));
            }
        });
        counters.add("pooling_reloads");
    }

    /** A handler for a client's connection; beyond the bound one that only says so. */
    private ConnectionHandler admit() {
        if (clients.size() >= setup.limits().clients()) {
            counters.add("pooling_clients_refused");
            return new ConnectionHandler() {
                @Override public void opened(Connection out) {
                    out.write(Frame.error("FATAL", "53300", "more than " + setup.limits().clients() + " clients", null).wire());
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
        unstarted.add(client);
        return client;
    }

    // ---- What clients ask.
    @Override public Setup setup() { return setup; }
    @Override public Setup.Database database(String name) { return setup.databases().get(name); }
    @Override public Route route() { return route; }
    @Override public PMap<String, String> reported(ServerKey key) { return servers.reported(key); }
    @Override public boolean draining() { return draining; }
    @Override public void count(String name) { counters.add(name); }
    @Override public double now() { return loop.now(); }
    @Override public void runLater(Runnable work) { loop.run(work); }
    @Override public List<Frame> console(String sql) { return console.answer(sql); }

    @Override public boolean reserveBytes(int more) {
        held += more;
        return more <= 0 || held <= setup.limits().buffers();
    }

    @Override public void submit(Client client, OpeningBatch opening) {
        client.ticket = ++nextTicket;
        tickets.put(client.ticket, client);
        double deadline = client.submittedAt() + opening.way.ttl();
        effects(places.get(client.databaseName()).ask(loop.now(), client.user(), client.ticket, deadline));
    }

    private void effects(List<Places.Effect> effects) {
        for (Places.Effect e : effects) {
            Client client = tickets.get(e.ticket());
            if (client == null) {
                continue;
            }
            if (e instanceof Places.Effect.Refused r) {
                tickets.remove(e.ticket());
                client.ticket = 0;
                counters.add("pooling_waits_over");
                client.placeRefused(r.why());
            } else if (e instanceof Places.Effect.Granted) {
                take(client);
            }
        }
    }

    private void take(Client client) {
        OpeningBatch opening = client.opening();
        Route.Way way = opening.way;
        client.placeAssigned();
        var ask = new Ports.Ask<>(way.requestClass(), client.submittedAt() + way.ttl(), "client-" + client.process(), way.mark(),
                way.group(), opening);
        pooler.take(ask, client);
    }

    @Override public void requestEnded(Client client) { free(client); }

    private void free(Client client) {
        long ticket = client.ticket;
        client.ticket = 0;
        if (ticket != 0) {
            tickets.remove(ticket);
            Places at = places.get(client.databaseName());
            at.leave(client.user(), ticket);
            // Later: who is served next must not run inside this one's end.
            loop.run(() -> effects(at.free(loop.now(), ticket)));
        }
    }

    @Override public void withdraw(Client client) {
        unstarted.remove(client);
        String request = client.request;
        client.request = null;
        if (request != null) {
            pooler.gone(request);
        }
        free(client);
    }

    @Override public void closed(Client client) {
        clients.remove(client.process());
        unstarted.remove(client);
    }

    /** Guards against guessed keys: the secret is as wide as the protocol allows, and compared whole. */
    private boolean cancelHere(int process, int secret) {
        Client client = clients.get(process);
        boolean known = client != null && client.secret() == secret;
        if (known) {
            client.cancelled();
        }
        return known;
    }

    @Override public void cancel(int process, int secret) { cancels.cancel(process, secret); }

    /** To share cancels with another process of this pooler. */
    public CancelRouter cancels() { return cancels; }

    @Override public void cancel(Server server) { servers.cancel(server); }

    private void sweep() {
        double now = loop.now();
        Setup.Limits limits = setup.limits();
        places.values().forEach(p -> effects(p.tick(now)));
        for (Client c : new ArrayList<>(unstarted)) {
            if (c.state() != ClientState.LOGIN) {
                unstarted.remove(c);
            } else if (now - c.connectedAt() > limits.login()) {
                counters.add("pooling_logins_late");
                c.fatal("08P01", "no whole start came in time");
            }
        }
        for (Server s : servers.connections()) {
            Lease lease = s.lease();
            if (lease == null || !lease.bound()) {
                continue;
            }
            Client client = lease.opening().client;
            boolean bounded = lease.opening().mode == Setup.Mode.TRANSACTION;
            if (now - lease.idleInTransactionSince() > limits.idleInTransaction()) {
                counters.add("pooling_idle_in_transaction");
                client.fatal("25P03", "idle in transaction for longer than it may");
            } else if (bounded && lease.inTransaction() && now - lease.transactionSince() > limits.transaction()) {
                counters.add("pooling_transactions_late");
                client.fatal("25P04", "the transaction takes longer than it may");
            }
        }
        loop.after(SWEEP, this::sweep);
    }

    // ---- For the console and for figures.
    Collection<Client> clients() { return clients.values(); }
    Servers servers() { return servers; }
    Map<String, Places> places() { return places; }
    Counters counters() { return counters; }

    /** Present values for operators, by name. */
    public Map<String, Long> figures() {
        var all = new LinkedHashMap<String, Long>();
        all.put("pooling_clients", (long) clients.size());
        all.put("pooling_clients_waiting", places.values().stream().mapToLong(Places::waiting).sum());
        all.put("pooling_places_held", places.values().stream().mapToLong(Places::held).sum());
        all.put("pooling_servers", (long) servers.connections().size());
        all.put("pooling_servers_idle", servers.connections().stream().filter(s -> s.state() == ConnectionState.IDLE).count());
        all.put("pooling_buffers_bytes", held);
        return all;
    }

    /** Nothing new begins at this database until it resumes; false where it is not known. */
    boolean pause(String name, boolean on) {
        Places at = places.get(name);
        if (at == null) {
            return false;
        }
        if (on) {
            at.pause();
        } else {
            effects(at.resume(loop.now()));
        }
        return true;
    }

    // ---- What a daemon asks.
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
            listener = loop.listen(address, this::admit);
            draining = false;
        } catch (IOException e) {
            counters.add("pooling_listener_failures");
            loop.after(REOPEN, this::resume);
        }
    }

    @Override public boolean closed() { return clients.isEmpty(); }
}
