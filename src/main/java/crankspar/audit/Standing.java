package crankspar.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a pooler acts on the present list, and what it does where it does not or cannot know: it asks, lets its peers bring
 * it up, and at last shuts itself out. It is stepped with what happened and hands out what to do; it knows no clock, no socket
 * and no chance, and is the same object in the daemon and in the model.
 *
 * <p>A list is <i>confirmed</i> at a time as of which it was the present one: discovery said so, or, where this pooler holds the
 * very list that they do, two peers. A drain that discovery has to tell counts as told 6 s later even if it never came, so
 * that a list confirmed longer ago than the {@link StandingSettings#lease() lease} may be too old to send by.
 *
 * <p>What one peer tells alone is asked for, never believed: a pooler that tells nonsense shuts nobody out. What two tell alike
 * is believed as far as that is harmless: a database that drains gets nothing, and a list held against two others' is held to
 * be the older one. Nothing a pooler tells that is shut out, or whose own list is past its lease, counts.
 *
 * <pre>
 * state        way in                                         ways out
 * CURRENT      the list is confirmed, nobody has a newer      BEHIND
 * BEHIND       unconfirmed for 3.5 s, or a newer one is told  CATCHING_UP (asks), CURRENT
 * CATCHING_UP  discovery has been asked                       CURRENT, FENCED
 * FENCED       may be too old to send by, and may go out      RETURNING
 * RETURNING    confirmed again, or no longer alone            CURRENT (after 0.5 s of it), FENCED
 * </pre>
 */
public final class Standing {
    /** The words that operators read; the order is the wire's. */
    public enum State {
        CURRENT, BEHIND, CATCHING_UP, FENCED, RETURNING;

        /** Neither sends nor is believed. */
        public boolean out() { return this == FENCED || this == RETURNING; }

        public String word() { return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'); }
    }

    public sealed interface Event {
        /** Discovery has said something: the list that is in force now is the present one. */
        record Heard(long revision, int content) implements Event { }
        /** A peer's digest, as it came. */
        record Told(Digest digest) implements Event { }
        /** The process stood still: what it knows of its peers is as old as that. */
        record Paused(double ms) implements Event { }
        record Tick() implements Event { }
    }

    public sealed interface Effect {
        /** Ask discovery once. */
        record Ask() implements Effect { }
        /** From now on nothing is sent, or everything again. */
        record Fence(boolean on) implements Effect { }
        /** Two peers say that this database drains, or that is settled. */
        record Drained(int key, boolean on) implements Effect { }
        record Changed(State from, State to, String why) implements Effect { }
    }

    /** Discovery says something every 2 s; a list unconfirmed for longer than that and this slack (ms) is behind. */
    static final double UNCONFIRMED = 3500;
    /** A peer heard no longer than this (ms) ago is seen. */
    static final double SEEN = 2000;
    /** How much later (ms) a peer's other list must be confirmed than this one to be held the newer: words cross on their way. */
    static final double MARGIN = 500;
    /** A newer list that others tell is behind only after this (ms): each hears of a change a little before or after the next. */
    static final double CROSS = 250;
    /** Between wanting to go out and going (ms): by then a dozen peers have heard of it, and those that want to as well have told. */
    static final double WANT = 2000;
    /** A return is confirmed for so long (ms) before anything is sent. */
    static final double RETURN = 500;
    /** Discovery is asked again after this (ms), then twice as long each time up to the most. */
    static final double ASK_AGAIN = 1500;
    static final double ASK_MOST = 6000;
    /** Each pooler's place in a round of asking (ms apart), and the longest such round. */
    static final double ASK_EACH = 10;
    static final double ASK_ROUND = 1000;
    /** Digests of one life before it confirms a list: by then the least gap between the clocks is known. */
    static final int SETTLED = 3;
    /** The least gap of two clocks is looked for anew in each such span (ms), as clocks drift. */
    static final double SPAN = 60_000;
    /** What a peer told of a drain counts so long (ms): one of a hundred is heard every 7 s. */
    static final double TOLD_MOST = 10_000;
    static final int DRAINS_MOST = 256;
    /** GossipReceiver so much of the fleet counts as hearing all of it. */
    static final double WHOLE = 0.8;
    /** Claims that discovery did not bear out. */
    static final int REFUTED_MOST = 32;
    /** Two peers must say the same. */
    static final int VOICES = 2;

    private static final class Telling {
        final Map<Integer, Double> by = new HashMap<>();
        boolean on;
    }

    private final StandingSettings settings;
    private final Map<Integer, Peer> peers = new HashMap<>();
    private final Map<Integer, Telling> drains = new LinkedHashMap<>();
    private final Set<Peer.Claim> refuted = new HashSet<>();
    private final Map<String, Long> counts = new java.util.TreeMap<>();
    private List<Effect> effects = new ArrayList<>();
    private State state = State.CURRENT;
    private Peer.Claim mine = new Peer.Claim(0, 0);
    private double own, since, wantedSince = Double.NaN, returning, askAt = Double.NaN, toldSince = Double.NaN, askGap = ASK_AGAIN, believedSince = Double.NaN;
    private int asked;

    /** At the start the given list counts as confirmed: the rules bear it for a lease. */
    public Standing(StandingSettings settings, double now) {
        this.settings = settings;
        own = now;
        since = now;
    }

    public State state() { return state; }

    /** Whether it is about to go out. */
    public boolean wants() { return !Double.isNaN(wantedSince); }

    /** When the state began. */
    public double since() { return since; }

    /** The latest time as of which the list in force was the present one. */
    public double confirmed(double now) { return Math.max(own, byPeers(now)); }

    /** How many peers were heard lately. */
    public int seen(double now) { return (int) peers.values().stream().filter(p -> seen(p, now)).count(); }

    /** Whether this peer was heard lately. */
    public boolean sees(int pooler, double now) {
        Peer p = peers.get(pooler);
        return p != null && seen(p, now);
    }

    /** Whether it goes on with a list past its lease, as the whole fleet that it sees does. */
    public boolean unconfirmed(double now) { return now - confirmed(now) > settings.lease() && !state.out(); }

    /** What was dropped, asked and decided since the start. */
    public Map<String, Long> counts() { return Map.copyOf(counts); }

    public List<Effect> step(double now, Event event) {
        effects = new ArrayList<>();
        if (event instanceof Event.Heard e) {
            var heard = new Peer.Claim(e.revision(), e.content());
            if (!heard.equals(mine)) {
                mine = heard;
                refuted.clear();
                settle();
            }
            own = now;
            if (asked > 0) {                  // discovery's own word: who claims another list alone is not borne out
                claims(now).forEach((c, voices) -> {
                    if (voices < VOICES && refuted.size() < REFUTED_MOST && ahead(c)) {
                        refuted.add(c);
                        count("refuted");
                    }
                });
            }
            asked = 0;
            askGap = ASK_AGAIN;
        } else if (event instanceof Event.Told e) {
            told(now, e.digest());
        } else if (event instanceof Event.Paused) {
            wantedSince = Double.NaN;         // what waited in the sockets is heard first: the next event judges
            return effects;
        }
        forget(now);
        State before;
        do {
            before = state;
            judge(now);
        } while (state != before);
        return effects;
    }

    // ---- What peers tell.
    private void told(double now, Digest d) {
        if (d.from() == settings.me() || d.from() >= settings.poolers()) {
            count("dropped_stranger");
            return;
        }
        Peer p = peers.get(d.from());
        if (p == null || p.life != d.life()) {
            // Two lives at once: forged, or on its way since before a restart. Who has stood is not taken over while it is
            // seen; who came a moment ago is, as forged words may come before the peer's first and would shut it out.
            if (p != null && seen(p, now) && p.stood()) {
                count("dropped_life");
                return;
            }
            p = new Peer(d.life(), now);
            p.least = p.leastBefore = gap(now, d);
            peers.put(d.from(), p);
        } else if ((short) (d.count() - p.count) <= 0) {
            count("dropped_old");             // doubled or overtaken
            return;
        }
        p.count = d.count();
        p.digests++;
        int gap = gap(now, d);
        if (now - p.spanBegan > SPAN) {
            p.leastBefore = p.least;
            p.least = gap;
            p.spanBegan = now;
        }
        p.least = gap - p.least < 0 ? gap : p.least;
        int usual = p.leastBefore - p.least < 0 ? p.leastBefore : p.least;
        int late = gap - usual;               // how long this one was on its way, beyond the least
        p.heard = now - late;
        p.digest = d;
        p.confirmed = now - late - d.confirmed();
        if (d.state().out()) {
            count("dropped_fenced");
        } else if (now - p.confirmed > settings.lease()) {
            count("dropped_outdated");
        } else if (newer(p)) {
            drains(now, d);
        }
    }

    private static int gap(double now, Digest d) { return (int) (long) now - d.stamp(); }

    private static boolean seen(Peer p, double now) { return now - p.heard <= SEEN; }

    /** Whose word of a newer list counts. */
    private boolean counts(Peer p, double now) { return seen(p, now) && !p.digest.state().out() && now - p.confirmed <= settings.lease(); }

    /** Who may prolong a lease: by its first digests it is not known how long these were on their way. */
    private boolean confirms(Peer p, double now) { return counts(p, now) && p.digests >= SETTLED; }

    /** The second latest time as of which peers with this very list had it confirmed; the only one's where one is all there is. */
    private double byPeers(double now) {
        double first = Double.NEGATIVE_INFINITY;
        double second = Double.NEGATIVE_INFINITY;
        int voices = 0;
        int all = 0;
        for (Peer p : peers.values()) {
            if (!confirms(p, now)) {
                continue;
            }
            all++;
            if (p.digest.revision() == mine.revision() && p.digest.content() == mine.content()) {
                voices++;
                second = Math.max(second, Math.min(first, p.confirmed));
                first = Math.max(first, p.confirmed);
            }
        }
        return voices >= VOICES ? second : voices == 1 && all == 1 ? first : Double.NEGATIVE_INFINITY;
    }

    private Map<Peer.Claim, Integer> claims(double now) {
        var all = new HashMap<Peer.Claim, Integer>();
        for (Peer p : peers.values()) {
            if (counts(p, now)) {
                if (newer(p)) {
                    all.merge(p.claim(), 1, Integer::sum);
                }
            }
        }
        return all;
    }

    /** Another list than this pooler's, with a higher number, or known to be the present one at a later time. */
    private boolean newer(Peer p) { return !p.claim().equals(mine) && (ahead(p.claim()) || p.confirmed > own + MARGIN); }

    /** A higher number of the same count; whether it is the same count only discovery can tell. */
    private boolean ahead(Peer.Claim c) { return c.revision() > mine.revision(); }

    private void drains(double now, Digest d) {
        for (int drain : d.drains()) {
            Telling t = drains.get(drain);
            if (t == null) {
                if (drains.size() >= DRAINS_MOST) {
                    count("dropped_drains");
                    continue;
                }
                t = new Telling();
                drains.put(drain, t);
            }
            t.by.put(d.from(), now);
            if (!t.on && t.by.size() >= VOICES) {
                t.on = true;
                count("drains_by_peers");
                effects.add(new Effect.Drained(drain, true));
            }
        }
    }

    /** Discovery has told this pooler itself what drains: who holds a newer list yet will tell it again. */
    private void settle() {
        drains.forEach((key, t) -> {
            if (t.on) {
                effects.add(new Effect.Drained(key, false));
            }
        });
        drains.clear();
    }

    private void forget(double now) {
        drains.entrySet().removeIf(e -> {
            e.getValue().by.values().removeIf(at -> now - at > TOLD_MOST);
            boolean over = e.getValue().by.isEmpty();
            if (over && e.getValue().on) {
                effects.add(new Effect.Drained(e.getKey(), false));
            }
            return over;
        });
    }

    // ---- What comes of it.
    private void judge(double now) {
        Map<Peer.Claim, Integer> others = claims(now);
        boolean believed = others.values().stream().anyMatch(n -> n >= VOICES);
        boolean hinted = others.keySet().stream().anyMatch(c -> ahead(c) && !refuted.contains(c));
        if (!believed) {
            believedSince = Double.NaN;
        } else if (Double.isNaN(believedSince)) {
            believedSince = now;
        }
        if (!believed && !hinted) {
            toldSince = Double.NaN;
        } else if (Double.isNaN(toldSince)) {
            toldSince = now;
        }
        double age = now - confirmed(now);
        String why = now - toldSince >= CROSS ? believed ? "two peers have another list" : "a peer tells a newer list"
                : age > UNCONFIRMED ? "unconfirmed for " + Math.round(age) + " ms" : null;
        String reason = reason(now, age, believed);
        if (reason == null) {
            wantedSince = Double.NaN;
        } else if (Double.isNaN(wantedSince)) {
            wantedSince = now;
        }
        boolean atOnce = reason != null && age > settings.lease() && seen(now) == 0; // nobody is there to hear what it wants
        switch (state) {
            case CURRENT -> {
                if (why != null) {
                    become(now, State.BEHIND, why);
                    askAt = atOnce ? now : now + Math.min(ASK_ROUND, ASK_EACH * settings.poolers()) * (Integer.remainderUnsigned((settings.me() + 1) * 0x9E3779B9, 1000) / 1000.0);
                }
            }
            case BEHIND, CATCHING_UP -> {
                if (why == null) {
                    become(now, State.CURRENT, "confirmed");
                } else if (now >= askAt) {
                    effects.add(new Effect.Ask());
                    count("asked");
                    asked++;
                    askAt = now + askGap;
                    askGap = Math.min(ASK_MOST, 2 * askGap);
                    if (state == State.BEHIND) {
                        become(now, State.CATCHING_UP, why);
                    }
                }
                if (state == State.CATCHING_UP && reason != null && (atOnce || now - wantedSince >= WANT)) {
                    if (mayGoOut(now)) {
                        become(now, State.FENCED, reason);
                        effects.add(new Effect.Fence(true));
                    } else {
                        count("kept_in");
                        wantedSince = now;    // not at every tick, as what it has heard of the others differs from one to the next
                    }
                }
            }
            case FENCED -> {
                if (reason == null) {
                    become(now, State.RETURNING, why == null ? "confirmed" : "no longer alone");
                    returning = now;
                } else if (now >= askAt) {
                    effects.add(new Effect.Ask());
                    askAt = now + askGap;
                    askGap = Math.min(ASK_MOST, 2 * askGap);
                }
            }
            case RETURNING -> {
                if (reason != null) {
                    become(now, State.FENCED, reason);
                } else if (now - returning >= RETURN) {
                    become(now, State.CURRENT, "confirmed for " + Math.round(now - returning) + " ms");
                    effects.add(new Effect.Fence(false));
                }
            }
        }
    }

    /** Why it should send nothing, or null. */
    private String reason(double now, double age, boolean believed) {
        if (settings.poolers() == 1) {
            return null;                      // it is the whole fleet, and goes on as the rules let it
        }
        double bound = settings.lease() - (state.out() ? 0 : WANT);
        if (believed && now - believedSince > bound) {
            return "held against two peers' list for " + Math.round(now - believedSince) + " ms";
        }
        if (age <= bound) {
            return null;
        }
        if (peers.values().stream().noneMatch(p -> seen(p, now))) {
            return "alone, and unconfirmed for " + Math.round(age) + " ms";
        }
        return believed ? "unconfirmed for " + Math.round(age) + " ms, and two peers have another list" : null;
    }

    /**
     * Works without agreement: who is out counts, and of those that want to as well, or may soon as they are behind, the lower
     * numbers go first. That they are behind has been told for seconds by then; that they want to may not have come yet.
     */
    private boolean mayGoOut(double now) {
        int all = 1;
        int out = 0;
        for (Map.Entry<Integer, Peer> e : peers.entrySet()) {
            Peer p = e.getValue();
            if (now - p.heard <= TOLD_MOST) { // beyond its neighbours each of fourteen is heard every 2 s only
                all++;
                if (p.digest.state().out() || e.getKey() < settings.me() && (p.digest.wants() || p.digest.state() != State.CURRENT)) {
                    out++;
                }
            }
        }
        // Of a fleet that it hears a part of it knows its place by a sample only, whose error is about its root.
        double error = all < settings.poolers() * WHOLE ? Math.sqrt(all) / 2 : 0;
        return out < Math.max(1, (int) Math.floor(settings.share() * all - error));
    }

    private void become(double now, State next, String why) {
        effects.add(new Effect.Changed(state, next, why));
        count("became_" + next.name().toLowerCase(java.util.Locale.ROOT));
        state = next;
        since = now;
    }

    private void count(String what) { counts.merge(what, 1L, Long::sum); }
}
