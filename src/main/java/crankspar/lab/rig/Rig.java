package crankspar.lab.rig;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.lab.LabSettings;
import crankspar.lab.PgServer;
import crankspar.lab.Recording;
import crankspar.net.Loop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Several poolers as processes, one discovery, groups of databases, and a link between every two of them. What stands at the
 * ends is reached through the links only, so that any of them can be made to fail.
 */
public final class Rig implements AutoCloseable {
    private static final List<String> ZONES = List.of("burnaby", "surrey", "richmond");

    private final Loop loop = new Loop("rig");
    private final Recording recording = new Recording();
    private final DiscoveryStandIn discovery;
    private final Map<String, PgServer> databases = new LinkedHashMap<>();
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final List<PlatformProcess> poolers = new ArrayList<>();
    private final List<Link> toDiscovery = new ArrayList<>();
    private final DatagramNet datagrams;

    /** So many poolers and one group of so many databases, its first the primary; {@code jar} may be null: this program. */
    public Rig(int poolers, int databases, long seed, Path jar) throws IOException {
        discovery = new DiscoveryStandIn(loop, anyPort(0));
        for (int d = 0; d < databases; d++) {
            String id = "db-" + d;
            var server = new PgServer(loop, id, recording).role(d == 0).work(5, 3);
            server.listen(anyPort(0));
            this.databases.put(id, server);
            var m = new Member(id, ZONES.get(d % ZONES.size()), d == 0, 1, Health.RUNNING, 0, "std", 0);
            members.put(id, m);
            discovery.set(m, server.address());
        }
        var peers = new InetSocketAddress[poolers];
        var listens = new InetSocketAddress[poolers];
        for (int i = 0; i < poolers; i++) {
            peers[i] = free(i + 1);
            listens[i] = free(i + 1);
        }
        datagrams = new DatagramNet(loop, seed, peers);
        for (int i = 0; i < poolers; i++) {
            var link = new Link(loop, anyPort(i + 1), discovery.address());
            toDiscovery.add(link);
            var others = new ArrayList<String>();
            for (int j = 0; j < poolers; j++) {
                others.add("\"" + text(datagrams.address(i, j)) + "\"");
            }
            String configuration = "{\"name\": \"p" + i + "\", \"listen\": \"" + text(listens[i]) + "\", \"discovery\": \"" + text(link.address())
                    + "\", \"seed\": \"" + Long.toHexString(seed + i) + "\", \"limits\": {\"cores\": 1, \"memory_mb\": 192, \"sockets\": 1024},"
                    + " \"peer_listen\": \"" + text(peers[i]) + "\", \"peers\": [" + String.join(", ", others) + "],"
                    + " \"settings\": " + LabSettings.json(poolers, i, ZONES.get(i % ZONES.size())) + "}";
            this.poolers.add(new PlatformProcess("p" + i, listens[i], configuration, jar));
        }
    }

    /** Starts every pooler; a failure ends what had started. */
    public Rig start() throws IOException, InterruptedException {
        try {
            for (PlatformProcess p : poolers) {
                p.start();
            }
        } catch (IOException | InterruptedException e) {
            close();
            throw e;
        }
        return this;
    }

    /** A loopback address of its own for each party. */
    private static InetSocketAddress anyPort(int party) throws IOException {
        return new InetSocketAddress(InetAddress.getByName("127.0.0." + (10 + party)), 0);
    }

    /** A port that was free a moment ago. */
    private static InetSocketAddress free(int party) throws IOException {
        try (var s = new ServerSocket()) {
            s.bind(anyPort(party));
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    private static String text(InetSocketAddress a) { return a.getHostString() + ":" + a.getPort(); }

    public Recording recording() { return recording; }
    public DiscoveryStandIn discovery() { return discovery; }
    public DatagramNet datagrams() { return datagrams; }
    public PlatformProcess pooler(int i) { return poolers.get(i); }
    public PgServer database(String id) { return databases.get(id); }
    /** The way from a pooler to discovery. */
    public Link toDiscovery(int pooler) { return toDiscovery.get(pooler); }
    public double now() { return loop.now(); }

    @Override public void close() throws IOException {
        for (PlatformProcess p : poolers) {
            p.close();
        }
        toDiscovery.forEach(Link::close);
        datagrams.close();
        discovery.close();
        databases.values().forEach(PgServer::close);
        loop.close();
    }
}
