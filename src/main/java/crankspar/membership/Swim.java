package crankspar.membership;

import crankspar.membership.News.State;
import crankspar.membership.Packet.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2017): each period one member
 * is pinged, directly and then through others; who does not answer is suspected, and dead when nobody withdraws that in
 * time. Only a member itself raises its incarnation, by which it withdraws a wrong word. The dead and the never heard are
 * pinged too, rarely, so that views agree again after a cut. Time (ms) and chance are arguments; it sends nothing itself.
 */
public final class Swim {
    /**
     * Times in ms.
     *
     * @param period one member is pinged in each
     * @param direct an answer to a ping takes no longer, else others are asked
     * @param suspicion the least time that a suspect has; three times that while nobody confirms it
     * @param helpers how many are asked to ping for us
     */
    public record Settings(double period, double direct, double suspicion, int helpers) {
        public static final Settings DEFAULT = new Settings(200, 70, 800, 3);
    }

    /** What is to be sent: without news, which the sender adds. */
    public record Send(int to, Kind kind, int target, int call) { }

    private static final int HEALTH_MOST = 8;
    /** A tick that comes this much later (ms) than it should says that this instance itself stood still. */
    private static final double STALL = 150;
    /** In one period of so many, somebody dead or never heard is pinged instead. */
    private static final int LOST_EVERY = 4;
    private static final int RELAYS_MOST = 256;
    private static final int CONFIRMATIONS = 3;

    private static final class Peer {
        State state = State.UNKNOWN;
        int incarnation, zone, weight = 16;
        double suspectSince, rtt = Double.NaN;
        int confirmations;
        int left;                             // times that its news is still to be sent
    }

    private record Relay(int origin, int call, int target, double until) { }

    private final Settings settings;
    private final int me;
    private final Peer[] peers;
    private final RandomGenerator chance;
    private final List<Send> out = new ArrayList<>();
    private final Map<Integer, Relay> relays = new LinkedHashMap<>();
    private final Map<Integer, Double> pinged = new HashMap<>();
    private List<Integer> order = new ArrayList<>();
    private int incarnation;
    private int health, rounds, calls;
    private int target = -1, call;
    private boolean acked, asked, judged, leaving;
    private double roundAt = Double.NEGATIVE_INFINITY, nextRound, lastTick = Double.NaN;
    private long version = 1;
    private long wrong;

    /** {@code incarnation} is higher than that of any start before: the clock's seconds will do. */
    public Swim(Settings settings, int me, int members, int incarnation, int zone, int weight, RandomGenerator chance) {
        this.settings = settings;
        this.me = me;
        this.incarnation = incarnation;
        this.chance = chance;
        peers = new Peer[members];
        Arrays.setAll(peers, i -> new Peer());
        Peer self = peers[me];
        self.state = State.ALIVE;
        self.incarnation = incarnation;
        self.zone = zone;
        self.weight = weight;
        spread(self);
    }

    public int me() { return me; }
    public int incarnation() { return incarnation; }
    public int size() { return peers.length; }
    /** Goes up with each change of the living. */
    public long version() { return version; }
    public State state(int member) { return peers[member].state; }
    public int zone(int member) { return peers[member].zone; }
    public int weight(int member) { return peers[member].weight; }
    /** 0 is well; the higher, the later others are suspected. */
    public int health() { return health; }
    /** Words of this instance's own death that it had to withdraw. */
    public long withdrawn() { return wrong; }
    /** Half the way there and back (ms), or NaN where it was never measured. */
    public double path(int member) { return peers[member].rtt / 2; }

    /** Those that may have duties: this one, the living, and suspects while they are no more than that. */
    public List<Integer> living() {
        var all = new ArrayList<Integer>();
        for (int i = 0; i < peers.length; i++) {
            if (peers[i].state == State.ALIVE || peers[i].state == State.SUSPECT) {
                all.add(i);
            }
        }
        if (leaving) {
            all.remove((Integer) me);
        }
        return all;
    }

    private List<Send> taken() {
        var all = new ArrayList<>(out);
        out.clear();
        return all;
    }

    private double slower() { return 1 + health; }

    // ---- Time.
    public List<Send> tick(double now) {
        if (!Double.isNaN(lastTick) && now - lastTick > STALL) {
            stalled(now, now - lastTick);
        }
        lastTick = now;
        if (target >= 0) {
            round(now);
        }
        if (now >= nextRound && !leaving) {
            begin(now);
        }
        for (int i = 0; i < peers.length; i++) {
            Peer p = peers[i];
            if (p.state == State.SUSPECT && now >= p.suspectSince + patience(p)) {
                set(now, i, State.DEAD, p.incarnation);
            }
        }
        relays.values().removeIf(r -> r.until() < now);
        return taken();
    }

    /** This instance stood still: what it would judge by silence now was its own. */
    private void stalled(double now, double gap) {
        health = Math.min(HEALTH_MOST, health + 2);
        target = -1;
        nextRound = now;
        pinged.clear();
        for (Peer p : peers) {
            p.suspectSince += p.state == State.SUSPECT ? gap : 0;
        }
    }

    /** A suspect's time: long while only this instance suspects it, shorter with each that confirms. */
    private double patience(Peer p) {
        double least = settings.suspicion() * Math.max(1, Math.log10(peers.length));
        double most = 3 * least;
        double share = Math.log(1 + Math.min(CONFIRMATIONS, p.confirmations)) / Math.log(1 + CONFIRMATIONS);
        return (most - (most - least) * share) * (1 + health / 2.0);
    }

    private void begin(double now) {
        target = next();
        nextRound = now + settings.period() * slower();
        if (target < 0) {
            return;
        }
        roundAt = now;
        acked = asked = judged = false;
        call = nextCall(now);
        out.add(new Send(target, Kind.PING, target, call));
    }

    private int nextCall(double now) {
        calls = calls % 0xffff + 1;
        pinged.put(calls, now);
        pinged.remove((calls + 0xffff - 512) % 0xffff + 1);
        return calls;
    }

    /** The living in an order of chance, each once in a round of all; now and then one that is not. */
    private int next() {
        List<Integer> lost = new ArrayList<>();
        for (int i = 0; i < peers.length; i++) {
            if (i != me && peers[i].state != State.ALIVE && peers[i].state != State.SUSPECT) {
                lost.add(i);
            }
        }
        boolean alone = lost.size() == peers.length - 1;
        if (!lost.isEmpty() && (alone || ++rounds % LOST_EVERY == 0)) {
            return lost.get(chance.nextInt(lost.size()));
        }
        while (!order.isEmpty()) {
            int one = order.remove(order.size() - 1);
            if (one != me && (peers[one].state == State.ALIVE || peers[one].state == State.SUSPECT)) {
                return one;
            }
        }
        order = others(-1);
        shuffle(order);
        return order.isEmpty() ? -1 : order.remove(order.size() - 1);
    }

    private List<Integer> others(int but) {
        var all = new ArrayList<Integer>();
        for (int i = 0; i < peers.length; i++) {
            if (i != me && i != but && (peers[i].state == State.ALIVE || peers[i].state == State.SUSPECT)) {
                all.add(i);
            }
        }
        return all;
    }

    /** Some of the living by chance, never this one. */
    public List<Integer> some(int n, int but) {
        List<Integer> all = others(but);
        for (int i = 0; i < Math.min(n, all.size()); i++) {
            int j = i + chance.nextInt(all.size() - i);
            int swap = all.get(i);
            all.set(i, all.get(j));
            all.set(j, swap);
        }
        return all.subList(0, Math.min(n, all.size()));
    }

    private void shuffle(List<Integer> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            int j = chance.nextInt(i + 1);
            int swap = list.get(i);
            list.set(i, list.get(j));
            list.set(j, swap);
        }
    }

    private void round(double now) {
        boolean lost = peers[target].state != State.ALIVE && peers[target].state != State.SUSPECT;
        if (!acked && !asked && !lost && now >= roundAt + settings.direct() * slower()) {
            asked = true;
            for (int helper : some(settings.helpers(), target)) {
                out.add(new Send(helper, Kind.PING_REQUEST, target, call));
            }
        }
        if (now < nextRound || judged) {
            return;
        }
        judged = true;
        if (acked) {
            health = Math.max(0, health - 1);
        } else if (!lost) {
            // With nobody else to ask, silence says as much of this instance as of the other.
            health = Math.min(HEALTH_MOST, health + (peers.length > 2 && others(target).isEmpty() ? 1 : 0));
            if (peers[target].state == State.ALIVE) {
                set(now, target, State.SUSPECT, peers[target].incarnation);
            }
        }
        target = -1;
    }

    // ---- Messages.
    /** Someone's datagram; numbers outside the list are for the caller to drop. */
    public List<Send> received(double now, Packet p) {
        if (p.from() == me) {
            return List.of();
        }
        contact(now, p);
        for (News n : p.news()) {
            if (n.member() < peers.length) {
                apply(now, n);
            }
        }
        switch (p.kind()) {
            case PING -> out.add(new Send(p.from(), Kind.ACK, me, p.call()));
            case ACK -> ack(now, p);
            case PING_REQUEST -> {
                if (p.target() < peers.length && p.target() != me && relays.size() < RELAYS_MOST) {
                    int mine = nextCall(now);
                    relays.put(mine, new Relay(p.from(), p.call(), p.target(), now + 2 * settings.period()));
                    out.add(new Send(p.target(), Kind.PING, p.target(), mine));
                }
            }
            case GOSSIP -> { }
        }
        return taken();
    }

    /** A datagram from itself is the best news of a member; one that is held for dead hears that, and withdraws it. */
    private void contact(double now, Packet p) {
        Peer from = peers[p.from()];
        if (from.state == State.UNKNOWN || p.incarnation() > from.incarnation) {
            from.zone = p.zone();
            from.weight = p.weight();
            if (p.news().stream().noneMatch(n -> n.member() == p.from() && n.state() == State.LEFT)) {
                set(now, p.from(), State.ALIVE, p.incarnation());
            }
        }
    }

    private void ack(double now, Packet p) {
        Relay relay = relays.remove(p.call());
        Double sent = pinged.remove(p.call());
        if (relay != null) {
            out.add(new Send(relay.origin(), Kind.ACK, relay.target(), relay.call()));
            return;
        }
        if (p.call() == call && target >= 0 && p.target() == target) {
            acked = true;
            if (p.from() == target && sent != null) {
                Peer t = peers[target];
                double rtt = now - sent;
                t.rtt = Double.isNaN(t.rtt) ? rtt : t.rtt + 0.2 * (rtt - t.rtt);
            }
        }
    }

    private void apply(double now, News n) {
        if (n.member() == me) {
            if (n.state() != State.ALIVE && n.incarnation() >= incarnation && !leaving) {
                incarnation = n.incarnation() + 1;
                peers[me].incarnation = incarnation;
                health = Math.min(HEALTH_MOST, health + 1);
                wrong++;
                spread(peers[me]);
            }
            return;
        }
        Peer p = peers[n.member()];
        boolean known = p.state != State.UNKNOWN;
        boolean newer = !known || n.incarnation() > p.incarnation;
        boolean same = known && n.incarnation() == p.incarnation;
        switch (n.state()) {
            case ALIVE -> {
                if (newer) {
                    p.zone = n.zone();
                    p.weight = n.weight();
                    set(now, n.member(), State.ALIVE, n.incarnation());
                }
            }
            case SUSPECT -> {
                if (newer || same && p.state == State.ALIVE) {
                    set(now, n.member(), State.SUSPECT, n.incarnation());
                } else if (same && p.state == State.SUSPECT) {
                    p.confirmations++;
                }
            }
            case DEAD, LEFT -> {
                if (newer || same && (p.state == State.ALIVE || p.state == State.SUSPECT)) {
                    set(now, n.member(), n.state(), n.incarnation());
                }
            }
            case UNKNOWN -> { }
        }
    }

    private void set(double now, int member, State state, int incarnation) {
        Peer p = peers[member];
        boolean lived = p.state == State.ALIVE || p.state == State.SUSPECT;
        boolean lives = state == State.ALIVE || state == State.SUSPECT;
        p.state = state;
        p.incarnation = incarnation;
        p.suspectSince = now;
        p.confirmations = 0;
        version += lived == lives ? 0 : 1;
        spread(p);
    }

    private void spread(Peer p) { p.left = 3 + 2 * (32 - Integer.numberOfLeadingZeros(peers.length)); }

    /** Goes: says so with the next datagrams, and takes nothing new. */
    public List<Send> leave(double now) {
        leaving = true;
        peers[me].state = State.LEFT;
        version++;
        spread(peers[me]);
        for (int to : others(-1)) {
            out.add(new Send(to, Kind.GOSSIP, me, 0));
        }
        return taken();
    }

    /** News for one datagram to a peer: first what is held of that peer, if it is no good, then what was sent least. */
    public List<News> news(int to, int most) {
        var all = new ArrayList<News>();
        Peer t = peers[to];
        if (t.state != State.ALIVE && t.state != State.UNKNOWN) {
            all.add(said(to));
        }
        var due = new ArrayList<Integer>();
        for (int i = 0; i < peers.length; i++) {
            if (peers[i].left > 0 && i != to && peers[i].state != State.UNKNOWN) {
                due.add(i);
            }
        }
        due.sort(Comparator.comparingInt(i -> -peers[i].left));
        for (int i : due) {
            if (all.size() >= most) {
                break;
            }
            peers[i].left--;
            all.add(said(i));
        }
        return all;
    }

    /** Whether something is still to be told. */
    public boolean hasNews() {
        for (Peer p : peers) {
            if (p.left > 0 && p.state != State.UNKNOWN) {
                return true;
            }
        }
        return false;
    }

    private News said(int member) {
        Peer p = peers[member];
        return new News(member, p.state, p.incarnation, p.zone, p.weight);
    }
}
