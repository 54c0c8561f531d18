package crankspar.lab;

import crankspar.Router.Freshness;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Role;
import crankspar.Router.Status;
import crankspar.Router;
import crankspar.gossip.GossipReceiver;
import crankspar.policy.RequestRouter;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * Routing by many poolers at sizes that sockets don't reach: the daemon's own decisions with their ear for peers
 * ({@link GossipReceiver}, {@link RequestRouter}) before databases that are a few cores, a line and a replayed log each. It counts what
 * all of them do together, and a broken rule is an exception that names seed and time. Service times and loads are those of
 * the brief; connections are counted, not modelled.
 */
public final class RoutingModel extends Timeline {
    /**
     * A world.
     *
     * @param members databases of each group, its primary among them
     * @param perSecond requests of all clients a second
     * @param loss share of the messages between poolers that is lost
     * @param settings every pooler's, but for its number, seed and zone and how many there are
     */
    public record World(long seed, int poolers, int groups, int members, double perSecond, double loss, Router.Settings settings) {
        /** The brief's five classes at a moderate load: a fifth of what the databases could do. */
        public static World of(long seed, int poolers, int groups, double perSecond) {
            return new World(seed, poolers, groups, 6, perSecond, 0.05, LabSettings.platform(poolers));
        }
    }

    /**
     * What a run was like.
     *
     * @param served worth answered within its aim over the worth asked for; {@code byClass} the same of each class, in the settings' order
     * @param telling what telling peers costs, as a share of the worth by the settings' price
     * @param opened connections opened; one is used again by the same pooler and database only
     * @param coldPeak the most that a cold database was sent by those who knew, in any window of the rule, in times of what it could do
     * @param coldShare the most that a cold one was sent so in any window, as a share of its budget with what is put down to chance
     * @param coldSent requests that cold databases were sent by those who knew
     * @param fullest the most requests that were at one database at once
     * @param toPrimary share of the bounded reads' sends that went to a primary: no replica's position was known to be fresh
     */
    public record Figures(long asked, double served, long refused, double telling, long opened, double coldPeak, double coldShare, long coldSent,
                          int fullest, double toPrimary, List<Double> byClass) { }

    private static final double[] SHARES = {0.46, 0.42, 0.032, 0.023, 0.058};
    private static final double[][] WORK = {{32, 55}, {32, 55}, {79, 140}, {530, 920}, {53, 92}};
    private static final double MEAN = java.util.stream.IntStream.range(0, SHARES.length).mapToDouble(k -> SHARES[k] * (WORK[k][0] + WORK[k][1]) / 2).sum();
    private static final double DIAL = 250;

    private static final class Asked {
        int kind, tries;
        double at, deadline;
        boolean over;
        Attempt out;
    }

    private static final class Attempt {
        ModelDatabase at;
        int number;
        double sent;
        boolean ended, dropped;
    }

    private final class Instance implements Router.Actions {
        final int number;
        final String zone;
        final Map<String, Asked> asked = new HashMap<>();
        final Map<String, Integer> idle = new HashMap<>();
        Router router;
        boolean up;
        int life;

        Instance(int number) {
            this.number = number;
            zone = zones().get(number % zones().size());
        }

        void start() {
            up = true;
            life++;
            asked.clear();
            idle.clear();
            Router.Settings s = world.settings();
            router = maker.apply(new Router.Settings(random.nextLong(), zone, s.zones(), number, world.poolers(), s.batchInterval(), s.watchDiscovery(),
                    s.classes(), s.laggingRead(), s.patience(), s.roleInList(), s.sessionMarks(), s.reportsPosition(), s.commitWaits(), s.positionEpoch(),
                    s.reports(), s.guarantees(), s.limits(), s.prices()), this);
            router.onStart(now);
            router.onMembers(now, ListKind.OLD_COPY, databases.values().stream().map(ModelDatabase::listed).toList());
        }

        /** Later, if this life still goes on. */
        void later(double ms, Runnable what) {
            int mine = life;
            after(ms, () -> {
                if (up && life == mine) {
                    what.run();
                }
            });
        }

        void ask() {
            var a = new Asked();
            a.kind = pick(SHARES);
            var kind = world.settings().classes().get(a.kind);
            double ttl = kind.timeout() * between(0.4, 1);
            a.at = now;
            a.deadline = now + ttl;
            String id = Long.toString(count++, 36);
            asked.put(id, a);
            asking++;
            worthAsked[a.kind] += kind.value();
            double mark = kind.freshness() == Freshness.SESSION && random.nextDouble() < 0.7 ? between(20, 780) : -1;
            router.onRequest(now, new Router.Request(id, a.kind, ttl, "s" + random.nextInt(5000), mark, pick(popular)));
            later(ttl + world.settings().guarantees().answerSlack(), () -> {
                if (!a.over) {
                    throw broken("no final answer for a " + kind.name() + " at pooler " + number);
                }
            });
        }

        private void end(String id, Asked a, Attempt t, Status status) {
            if (t.ended) {
                return;
            }
            t.ended = true;
            a.out = null;
            boolean ok = status == Status.OK;
            boolean answered = ok || status == Status.FULL;
            if (answered) {
                idle.merge(t.at.id, 1, Integer::sum);
            }
            if (ok && !a.over) {
                a.over = true;
                var kind = world.settings().classes().get(a.kind);
                worthServed[a.kind] += now - a.at <= kind.targetLatency() ? kind.value() : now <= a.deadline ? kind.value() * kind.lateValueShare() : 0;
            }
            router.onOutcome(now, new Router.Outcome(id, t.number, t.at.id, status, now - t.sent, a.over,
                    answered ? t.at.primary ? Role.PRIMARY : Role.REPLICA : Role.UNKNOWN, answered ? Math.floor(t.at.position()) : Double.NaN));
            asked.remove(id, a.over ? a : null);
        }

        @Override public void send(String request, String member, double timeout) {
            Asked a = asked.get(request);
            ModelDatabase d = databases.get(member);
            if (a == null || a.over || a.out != null) {
                throw broken("a second copy, or one of a request that is over, at pooler " + number);
            }
            var kind = world.settings().classes().get(a.kind);
            if (kind.freshness() == Freshness.BOUNDED) {
                bounded++;
                boundedAtPrimary += d.primary ? 1 : 0;
                if (d.position() < now - kind.stalenessBound()) {
                    throw broken("a stale read at " + member);
                }
            }
            var t = new Attempt();
            t.at = d;
            t.number = a.tries++;
            t.sent = now;
            a.out = t;
            if (idle.getOrDefault(member, 0) > 0) {
                idle.merge(member, -1, Integer::sum);
            } else {
                opened++;
            }
            double way = zone.equals(d.zone) ? 0.1 : between(1.4, 2.6);
            if (!d.up || cut(number, d)) {
                later(DIAL, () -> end(request, a, t, Status.CONNECT_FAILED));
            } else {
                int mine = life;
                double work = between(WORK[a.kind][0], WORK[a.kind][1]);
                after(way, () -> d.take(number, work, () -> t.dropped, () -> after(way, () -> {
                    if (up && life == mine) {
                        end(request, a, t, kind.freshness() == Freshness.WRITE && !d.primary ? Status.MISS : Status.OK);
                    }
                }), () -> later(way, () -> end(request, a, t, Status.FULL))));
            }
            double left = a.deadline - now;
            later(timeout > 0 ? Math.min(timeout, left) : left, () -> {
                t.dropped = true;
                end(request, a, t, Status.TIMEOUT);
            });
        }

        private void close(String request, boolean refuse) {
            Asked a = asked.get(request);
            if (a == null || a.over) {
                throw broken("a second final answer at pooler " + number);
            }
            a.over = true;
            refused += refuse ? 1 : 0;
        }

        @Override public void refuse(String request, double retryIn) { close(request, true); }
        @Override public void fail(String request) { close(request, false); }

        @Override public void cancel(String request, int attempt) {
            Asked a = asked.get(request);
            Attempt t = a == null ? null : a.out;
            if (t != null && t.number == attempt) {
                t.dropped = true;
                later(0, () -> end(request, a, t, Status.CANCELLED));
            }
        }

        @Override public void setTimer(double delay, long cookie) { later(Math.max(delay, 0.001), () -> router.onTimer(now, cookie)); }

        @Override public void probe(String member) {
            ModelDatabase d = databases.get(member);
            boolean there = d.up && !cut(number, d);
            double position = d.position();
            if (there) {
                d.pressed(number, MEAN);
            }
            later(there ? 5 : DIAL, () -> router.onProbe(now, new Router.ProbeResult(member, there, 5,
                    there ? d.primary ? Role.PRIMARY : Role.REPLICA : Role.UNKNOWN, there ? position : Double.NaN)));
        }

        @Override public void watchDiscovery(boolean on) { }
        @Override public void log(String text) { }

        @Override public void broadcast(byte[] message) {
            if (message.length > 256) {
                throw broken("a message of " + message.length + " bytes");
            }
            for (Instance i : instances) {
                if (i != this && !mute && side[i.number] == side[number] && random.nextDouble() >= world.loss()) {
                    after(between(1.4, 29), () -> {
                        if (i.up) {
                            told += message.length;
                            i.router.onPeerMessage(now, message);
                        }
                    });
                }
            }
        }
    }

    private final World world;
    private final BiFunction<Router.Settings, Router.Actions, Router> maker;
    private final Map<String, ModelDatabase> databases = new LinkedHashMap<>();
    private final Instance[] instances;
    private final int[] side;
    private boolean mute;
    private final ModelLoad load = new ModelLoad();
    private double rate;
    private long count, asking, refused, told, opened, bounded, boundedAtPrimary;
    private final double[] weights, popular, worthAsked = new double[SHARES.length], worthServed = new double[SHARES.length];

    public RoutingModel(World world) { this(world, GossipReceiver.before(RequestRouter::new)); }

    /** With other decisions, to compare. */
    public RoutingModel(World world, BiFunction<Router.Settings, Router.Actions, Router> maker) {
        super(world.seed());
        this.world = world;
        this.maker = maker;
        now = 1_000_000;
        for (int g = 0; g < world.groups(); g++) {
            for (int m = 0; m < world.members(); m++) {
                var d = new ModelDatabase(this, world.settings(), load, MEAN, g, m);
                databases.put(d.id, d);
            }
        }
        side = new int[world.poolers()];
        instances = new Instance[world.poolers()];
        Arrays.setAll(instances, Instance::new);
        popular = uneven(world.groups());     // first: the same seed has the same groups for any number of poolers
        weights = uneven(world.poolers());
        for (Instance i : instances) {
            i.start();
        }
        rate = world.perSecond();
        arrive();
    }

    /** Weights of which a few are several times the mean. */
    private double[] uneven(int many) {
        double[] w = new double[many];
        Arrays.setAll(w, i -> 0.2 - Math.log(1 - random.nextDouble()));
        return w;
    }

    private int pick(double[] weights) {
        double draw = random.nextDouble() * Arrays.stream(weights).sum();
        int i = 0;
        while (i < weights.length - 1 && (draw -= weights[i]) > 0) {
            i++;
        }
        return i;
    }

    List<String> zones() { return world.settings().zones(); }

    private Broken broken(String what) {
        return new Broken("seed " + world.seed() + ", " + world.poolers() + " poolers, at " + Math.round(now - 1_000_000) + " ms: " + what);
    }

    private boolean cut(int pooler, ModelDatabase d) { return side[pooler] != 0 && zones().indexOf(d.zone) + 1 != side[pooler]; }

    /** Open loop: when the next comes does not wait for answers. */
    private void arrive() {
        after(-Math.log(1 - random.nextDouble()) * 1000 / rate, () -> {
            int i = pick(weights);
            if (instances[i].up) {
                instances[i].ask();
            }
            arrive();
        });
    }

    /** Runs for so many ms; a broken rule ends it. */
    public RoutingModel run(double ms) {
        pass(ms);
        return this;
    }

    /** Figures count from here on. */
    public RoutingModel measure() {
        List.of(worthAsked, worthServed).forEach(w -> Arrays.fill(w, 0));
        load.reset();
        asking = refused = told = opened = bounded = boundedAtPrimary = 0;
        return this;
    }

    public Figures figures() {
        return new Figures(asking, Arrays.stream(worthServed).sum() / Math.max(1, Arrays.stream(worthAsked).sum()), refused, world.settings().prices().peer()
                * told / 256 / Math.max(1, asking), opened, load.coldPeak, load.coldShare, load.coldSent, load.fullest, boundedAtPrimary / (double) Math.max(1, bounded),
                java.util.stream.IntStream.range(0, SHARES.length).mapToObj(k -> worthServed[k] / Math.max(1, worthAsked[k])).toList());
    }

    // ---- What goes wrong.
    /** All messages between poolers are lost from now on, or no more. */
    public RoutingModel mute(boolean on) {
        mute = on;
        return this;
    }

    /** A zone's poolers and databases are cut off from all others, or no longer. */
    public RoutingModel cutZone(int zone, boolean on) {
        for (Instance i : instances) {
            if (i.number % zones().size() == zone) {
                side[i.number] = on ? zone + 1 : 0;
            }
        }
        return this;
    }

    /** A share of the poolers is killed, and comes up anew with nothing after so many ms. */
    public RoutingModel restart(double share, double after) {
        for (Instance i : instances) {
            if (i.number < share * instances.length) {
                i.up = false;
                i.life++;
                after(after, i::start);
            }
        }
        return this;
    }

    /** A group's database starts anew, cold; each pooler hears of it from discovery within {@code late} ms. */
    public RoutingModel cold(int group, int member, double late) {
        ModelDatabase d = databases.get("db-" + group + "-" + member);
        d.start();
        for (Instance i : instances) {
            i.later(random.nextDouble() * late, () -> {
                d.tell(i.number);
                i.router.onMembers(now, ListKind.CHANGES, List.of(d.listed()));
            });
        }
        return this;
    }

    /** Another rate of arrivals from now on (a second). */
    public RoutingModel rate(double perSecond) {
        rate = perSecond;
        return this;
    }

    /** What all poolers count, summed by name. */
    public Map<String, Long> counts() {
        var all = new java.util.TreeMap<String, Long>();
        for (Instance i : instances) {
            i.router.counters().forEach((name, n) -> all.merge(name, n, Long::sum));
        }
        return all;
    }
}
