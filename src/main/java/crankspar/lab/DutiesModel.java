package crankspar.lab;

import crankspar.duties.Duties;
import crankspar.duties.Node;
import crankspar.membership.News.State;
import crankspar.membership.Seal;
import crankspar.membership.Swim;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Membership and duties at sizes that sockets don't reach: the daemon's own {@link Node}s in one deterministic simulation
 * of network, clocks and failures. The same seed plays the same run. It checks after every step, and a broken promise is an
 * exception that names the seed and the time.
 */
public final class DutiesModel extends Timeline {
    /**
     * A world.
     *
     * @param loss share of datagrams lost; delays in ms, one way
     * @param drift clocks run up to this share apart
     * @param bound the longest that a database may go unprobed while somebody who lives can reach it (ms)
     * @param alone each probes for itself: the present way, to compare with
     */
    public record World(long seed, int instances, int databases, int zones, double loss, double delayLeast, double delayMost, double drift,
                        double bound, boolean alone, Duties.Settings duties, Swim.Settings swim) {
        public static World of(long seed, int instances, int databases, double loss) {
            return new World(seed, instances, databases, 3, loss, 1.4, 29, 0.01, 500, false, Duties.Settings.DEFAULT, Swim.Settings.DEFAULT);
        }

        World apart() { return new World(seed, instances, databases, zones, loss, delayLeast, delayMost, drift, bound, true, duties, swim); }
    }

    /** What a run was like. */
    public record Figures(double probesByDatabase, double longestGap, double datagramsByInstance, double age95, long takeovers, long wrongDeaths) { }

    private static final double TICK = 10;
    private static final double SETTLE = 2000;

    private final class Instance {
        final int number;
        final int zone;
        final double rate;
        final double offset;
        Node node;
        boolean up, paused;
        long life;
        final List<Runnable> held = new ArrayList<>();
        double[] ownProbe;

        Instance(int number) {
            this.number = number;
            zone = number % world.zones();
            rate = 1 + (random.nextDouble() * 2 - 1) * world.drift();
            offset = random.nextDouble() * 1e6;
        }

        double clock() { return offset + now * rate; }

        int seconds() { return 1_700_000_000 + (int) (now / 1000); }

        void start() {
            up = true;
            paused = false;
            long mine = ++life;
            held.clear();
            int seconds = seconds();
            node = Node.of(world.swim(), world.duties(), number, world.instances(), seconds * 2, zone, 16, new Seal(List.of()), 7,
                    (int) (now * 0.256) + 1, new SplittableRandom(random.nextLong()));
            node.duties().databases(clock(), zones);
            node.duties().living(List.of(new Duties.Living(number, zone, 16)));
            ownProbe = new double[world.databases()];
            Arrays.setAll(ownProbe, i -> now - random.nextDouble() * world.duties().every());
            after(random.nextDouble() * TICK, () -> tick(mine));
        }

        void tick(long mine) {
            if (!up || life != mine) {
                return;
            }
            act(() -> {
                if (world.alone()) {
                    alone();
                } else {
                    carryOut(node.tick(clock(), seconds()));
                }
            });
            after(TICK * (0.9 + 0.2 * random.nextDouble()), () -> tick(mine));
        }

        private void alone() {
            for (int d = 0; d < ownProbe.length; d++) {
                if (now - ownProbe[d] >= world.duties().every()) {
                    ownProbe[d] = now;
                    probe(ids[d]);
                }
            }
        }

        /** Now, or once it is no longer stopped. */
        void act(Runnable what) {
            if (paused) {
                held.add(what);
            } else {
                what.run();
            }
        }

        void carryOut(List<Node.Effect> effects) {
            for (Node.Effect e : effects) {
                if (e instanceof Node.Effect.Send s) {
                    datagrams[number]++;
                    deliver(number, s.to(), s.bytes());
                } else if (e instanceof Node.Effect.Duty d && d.what() instanceof Duties.Effect.Probe p) {
                    probe(p.id());
                } else if (e instanceof Node.Effect.Duty d && d.what() instanceof Duties.Effect.Heard h && h.result().ok()) {
                    known[number][index.get(h.result().id())] = Math.max(known[number][index.get(h.result().id())], h.result().position());
                }
            }
        }

        /** A probe takes a moment; from behind a cut it tells nothing. */
        private void probe(String id) {
            int d = index.get(id);
            probes[d]++;
            double startedAt = clock();
            long mine = life;
            if (cut[number] != cutOf[d % world.zones()] || unreachable[number][d]) {
                after(250, () -> ended(mine, id, false, 0, startedAt));
                return;
            }
            double there = 0.5 + random.nextDouble() * 3;
            after(there, () -> {
                gap(d);
                probedAt[d] = now;
                long position = (long) now;
                after(0.5 + random.nextDouble() * 3, () -> ended(mine, id, true, position, startedAt));
            });
        }

        private void ended(long mine, String id, boolean ok, long position, double startedAt) {
            if (up && life == mine) {
                act(() -> {
                    if (world.alone()) {
                        known[number][index.get(id)] = ok ? position : known[number][index.get(id)];
                    } else {
                        carryOut(node.probed(clock(), seconds(), id, ok, 1, position, startedAt));
                    }
                });
            }
        }
    }

    private final World world;
    private final Instance[] instances;
    private final String[] ids;
    private final Map<String, Integer> index = new LinkedHashMap<>();
    private final Map<String, Integer> zones = new LinkedHashMap<>();
    private final double[] probedAt;
    private final long[] probes;
    private final long[] datagrams;
    private final long[][] known;
    private final int[] cut;
    private final int[] cutOf;
    private final boolean[][] unreachable;
    private final boolean[][] oneWay;
    private final List<Double> ages = new ArrayList<>();
    private double measuredFrom = Double.NaN, longestGap, longestSeen;
    private double loss;

    public DutiesModel(World world) {
        super(world.seed());
        this.world = world;
        loss = world.loss();
        ids = new String[world.databases()];
        for (int d = 0; d < ids.length; d++) {
            ids[d] = "db-" + d;
            index.put(ids[d], d);
            zones.put(ids[d], d % world.zones());
        }
        probedAt = new double[ids.length];
        probes = new long[ids.length];
        datagrams = new long[world.instances()];
        known = new long[world.instances()][ids.length];
        cut = new int[world.instances()];
        cutOf = new int[world.zones()];
        unreachable = new boolean[world.instances()][ids.length];
        oneWay = new boolean[world.instances()][world.instances()];
        instances = new Instance[world.instances()];
        Arrays.setAll(instances, Instance::new);
        for (Instance i : instances) {
            after(random.nextDouble() * 50, i::start);
        }
        after(100, this::look);
    }

    /** Runs for so many ms; a broken promise ends it. */
    public DutiesModel run(double ms) {
        pass(ms);
        return this;
    }

    private Broken broken(String what) {
        return new Broken("seed " + world.seed() + ", " + world.instances() + " instances, at " + Math.round(now) + " ms: " + what);
    }

    // ---- The network.
    private void deliver(int from, int to, byte[] bytes) {
        if (random.nextDouble() < loss || cut[from] != cut[to] || oneWay[from][to]) {
            return;
        }
        if (bytes.length > 256) {
            throw broken("a datagram of " + bytes.length + " bytes");
        }
        after(between(world.delayLeast(), world.delayMost()), () -> {
            Instance i = instances[to];
            if (i.up && cut[from] == cut[to]) {
                long mine = i.life;
                i.act(() -> {
                    if (i.up && i.life == mine) {
                        i.carryOut(i.node.received(i.clock(), i.seconds(), bytes, bytes.length));
                    }
                });
            }
        });
    }

    // ---- Checks.
    private boolean reachable(int d) {
        for (Instance i : instances) {
            if (i.up && !i.paused && cut[i.number] == cutOf[d % world.zones()] && !unreachable[i.number][d]) {
                return true;
            }
        }
        return false;
    }

    private void gap(int d) {
        if (!Double.isNaN(measuredFrom)) {
            longestGap = Math.max(longestGap, now - Math.max(probedAt[d], measuredFrom));
        }
    }

    private void look() {
        for (int d = 0; d < ids.length; d++) {
            if (!reachable(d)) {
                probedAt[d] = now;            // nobody could: the time counts from when somebody can
            }
            double since = now - probedAt[d];
            if (now > SETTLE && since > world.bound()) {
                throw broken(ids[d] + " went unprobed for " + Math.round(since) + " ms");
            }
            longestSeen = Math.max(longestSeen, since);
        }
        if (!Double.isNaN(measuredFrom)) {
            int i = random.nextInt(instances.length);
            if (instances[i].up && !instances[i].paused) {
                for (int d = 0; d < ids.length; d++) {
                    ages.add(now - known[i][d]);
                }
            }
        }
        after(5, this::look);
    }

    /** From here on figures are kept. */
    public DutiesModel measure() {
        measuredFrom = now;
        ages.clear();
        longestGap = 0;
        Arrays.fill(probes, 0);
        Arrays.fill(datagrams, 0);
        Arrays.fill(probedAt, now);
        return this;
    }

    public Figures figures() {
        double seconds = (now - measuredFrom) / 1000;
        ages.sort(null);
        long takeovers = 0;
        long wrong = 0;
        for (Instance i : instances) {
            takeovers += i.node == null ? 0 : i.node.duties().takeovers();
            wrong += i.node == null ? 0 : i.node.swim().withdrawn();
        }
        return new Figures(Arrays.stream(probes).sum() / seconds / ids.length, longestGap, Arrays.stream(datagrams).sum() / seconds / instances.length,
                ages.isEmpty() ? Double.NaN : ages.get((int) (ages.size() * 0.95)), takeovers, wrong);
    }

    /** All that live agree on who lives, and no living one is held for dead. */
    public DutiesModel agreed() {
        for (Instance i : instances) {
            for (Instance j : instances) {
                if (i.up && j.up && i.node.swim().state(j.number) != State.ALIVE && i != j) {
                    throw broken(i.number + " holds " + j.number + " for " + i.node.swim().state(j.number));
                }
                if (i.up && !j.up && i.node.swim().state(j.number) == State.ALIVE) {
                    throw broken(i.number + " holds " + j.number + " for alive, and it is gone");
                }
            }
        }
        return this;
    }

    /** No more than so many probes a second for each database. */
    public DutiesModel probesAtMost(double aSecond) {
        Figures f = figures();
        if (f.probesByDatabase() > aSecond) {
            throw broken("probes for a database " + f.probesByDatabase() + " a second, at most " + aSecond);
        }
        return this;
    }

    // ---- What goes wrong.
    public DutiesModel kill(int i) {
        instances[i].up = false;
        return this;
    }

    public DutiesModel restart(int i) {
        instances[i].start();
        return this;
    }

    public DutiesModel leave(int i) {
        instances[i].carryOut(instances[i].node.leave(instances[i].clock(), instances[i].seconds()));
        return kill(i);
    }

    /** Stopped as by SIGSTOP; what comes meanwhile waits, and comes at once when it goes on. */
    public DutiesModel pause(int i, double ms) {
        Instance one = instances[i];
        one.paused = true;
        long mine = one.life;
        after(ms, () -> {
            if (one.life == mine && one.up) {
                one.paused = false;
                var held = new ArrayList<>(one.held);
                one.held.clear();
                held.forEach(Runnable::run);
            }
        });
        return this;
    }

    /** The instances and databases of a zone are cut off from all others, or no longer. */
    public DutiesModel cutZone(int zone, boolean on) {
        cutOf[zone] = on ? zone + 1 : 0;
        for (Instance i : instances) {
            if (i.zone == zone) {
                cut[i.number] = on ? zone + 1 : 0;
            }
        }
        return this;
    }

    public DutiesModel oneWay(int from, int to, boolean on) {
        oneWay[from][to] = on;
        return this;
    }

    /** This instance lives, and cannot reach this database. */
    public DutiesModel unreachable(int instance, int database, boolean on) {
        unreachable[instance][database] = on;
        return this;
    }

    public DutiesModel loss(double share) {
        loss = share;
        return this;
    }

    /** Bytes from nowhere, to everybody. */
    public DutiesModel inject(byte[] bytes) {
        for (Instance i : instances) {
            if (i.up) {
                i.carryOut(i.node.received(i.clock(), i.seconds(), bytes, bytes.length));
            }
        }
        return this;
    }

    Node node(int i) { return instances[i].node; }

    public int holders(String id) {
        int n = 0;
        for (Instance i : instances) {
            n += i.up && i.node.duties().holder(id) == i.number ? 1 : 0;
        }
        return n;
    }
}
