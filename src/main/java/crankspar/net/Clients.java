package crankspar.net;

import crankspar.core.Counters;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A front's client connections: admitted up to a bound, and closed between two requests when it drains. */
public final class Clients<S extends Machine> {
    private final Loop loop;
    private final Counters counters;
    private final int most;
    private final Supplier<S> maker;
    private final Consumer<S> closeIfIdle;
    private final Set<S> sessions = new LinkedHashSet<>();
    private Loop.Listener listener;
    private boolean draining;

    public Clients(Loop loop, Counters counters, int most, Supplier<S> maker, Consumer<S> closeIfIdle) {
        this.loop = loop;
        this.counters = counters;
        this.most = most;
        this.maker = maker;
        this.closeIfIdle = closeIfIdle;
    }

    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        listener = loop.listen(address, this::admit);
        return listener.address();
    }

    /** A machine for a client's connection, or null when there are too many. */
    public Machine admit() {
        if (sessions.size() >= most) {
            counters.add("client_connections_refused");
            return null;
        }
        counters.add("client_connections");
        S session = maker.get();
        sessions.add(session);
        return session;
    }

    public void closed(S session) { sessions.remove(session); }

    public boolean draining() { return draining; }

    /** Takes no new connections, and closes each that it has between two requests. */
    public void drain() {
        draining = true;
        listener.close();
        new ArrayList<>(sessions).forEach(closeIfIdle);
    }
}
