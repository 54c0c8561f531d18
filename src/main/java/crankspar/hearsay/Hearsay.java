package crankspar.hearsay;

import crankspar.Router;
import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Role;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides what of the databases' positions and roles is told to the other poolers, and what of theirs is believed. Told is
 * what nobody has told yet: a role that changed, a position newer by a step than the newest that went round; and where own
 * requests are in flight, so that all know how busy a database is, each with few requests of its own. Own requests earn the bytes, at the settings' price over all receivers; what cannot be paid waits, and a newer position takes its place.
 *
 * <p>State is bounded by the own list and the number of poolers: an entry for each database, a number for each of both.
 */
public final class Hearsay {
    /**
     * Share of a request's worth that telling may cost. Measured with 14 poolers: half of it is spent at a step of a
     * tenth of the bound.
     */
    private static final double COST = 0.008;
    /** Bytes saved up at most, in full messages to all. */
    private static final double SAVED = 4;
    /** A position is told once it is newer by this share of the tightest bound on a read's age, ... */
    private static final double STEP = 0.1;
    /** ... and messages go out this often, as a share of that bound. */
    private static final double PERIOD = 0.15;
    /** Where no class has a bound (ms). */
    private static final double BOUND = 300;
    /** A primary stands at the present: its place is told again after this long (ms), for those that started since. */
    private static final double PRIMARY_STEP = 1000;
    /** How far ahead of this clock a sender's may be, and how late a message may come (ms). */
    private static final double AHEAD_MOST = 100;
    private static final double LATE_MOST = 5000;
    /** A pooler that was not heard for so many periods has nothing in flight any more, or nobody hears it. */
    private static final double SILENT_PERIODS = 10;

    /** One database of the own list. */
    private static final class Known {
        final String id;
        boolean twins;                        // another id has the same key: neither is told or believed
        Role role = Role.UNKNOWN;
        double position = Double.NEGATIVE_INFINITY;
        Role toldRole = Role.UNKNOWN;         // by anyone
        double told = Double.NEGATIVE_INFINITY;
        int own;                              // own requests in flight
        int others;                           // all peers' as last told
        boolean changed;                      // that number is news to the module

        Known(String id) { this.id = id; }

        double news() { return position - told; }
    }

    /** What one peer said it had in flight, and when by its clock. */
    private record Loads(long base, double heard, List<Bulletin.Load> loads) { }

    private final Map<Integer, Known> known = new HashMap<>();
    private final Map<Integer, Loads> peers = new TreeMap<>();
    private final int me;
    private boolean idle = true;              // told to have nothing in flight
    private final double price;
    private final int receivers;
    private final double step;
    private final double period;
    private double saved;
    private long told, heard;
    private final Map<String, Long> dropped = new HashMap<>();

    public Hearsay(Router.Settings settings) {
        receivers = Math.max(1, settings.siblings() - 1);
        me = settings.me();
        price = settings.prices().peer();
        double bound = settings.classes().stream().filter(c -> c.freshness() == Router.Freshness.BOUNDED)
                .mapToDouble(Router.RequestClass::bound).min().orElse(BOUND);
        step = STEP * bound;
        period = PERIOD * bound;
        saved = most();
    }

    private double most() { return SAVED * Bulletin.MOST; }

    /** How long what was learned waits for company (ms). */
    public double period() { return period; }

    /** A request came: it earns what telling may cost. The price is for a full message to one receiver. */
    public void request() {
        double bytes = price > 0 ? Bulletin.MOST * COST / price / receivers : Bulletin.MOST;
        saved = Math.min(most(), saved + bytes);
    }

    /** The own list: only what it names is told or believed. */
    public void members(ListKind kind, List<Member> members) {
        Set<String> full = new HashSet<>();
        for (Member m : members) {
            int key = Bulletin.key(m.id());
            Known k = known.get(key);
            if (m.health() == Health.GONE) {
                if (k != null && k.id.equals(m.id())) {
                    known.remove(key);
                }
                continue;
            }
            full.add(m.id());
            if (k == null) {
                known.put(key, new Known(m.id()));
            } else if (!k.id.equals(m.id())) {
                k.twins = true;
            }
        }
        if (kind != ListKind.CHANGES) {
            known.values().removeIf(k -> !full.contains(k.id));
        }
    }

    /** First-hand: an answer's note or a probe's report. */
    public void learned(String id, Role role, double position) {
        Known k = known.get(Bulletin.key(id));
        if (k == null || !k.id.equals(id) || Double.isNaN(position) || position < k.position) {
            return;
        }
        k.position = position;
        k.role = role == Role.UNKNOWN ? k.role : role;
    }

    /** One of the own requests is on its way there, or has ended. */
    public void inFlight(String id, int change) {
        Known k = known.get(Bulletin.key(id));
        if (k != null && k.id.equals(id)) {
            k.own = Math.max(0, k.own + change);
        }
    }

    /** Whether anything is worth telling. */
    public boolean due() { return !idle || known.values().stream().anyMatch(k -> k.own > 0 || worth(k)); }

    private boolean worth(Known k) {
        return !k.twins && k.position > k.told
                && (k.role != k.toldRole || k.news() >= (k.role == Role.PRIMARY ? PRIMARY_STEP : step));
    }

    /** The next message for all, or null: changed roles first, then what is newest to the others. */
    public byte[] next(double now) {
        int room = (int) Math.min(Bulletin.MOST, saved) - Bulletin.HEAD;
        if (room < Bulletin.FACT) {
            return null;
        }
        List<Known> out = known.values().stream().filter(this::worth)
                .sorted(Comparator.comparing((Known k) -> k.role == k.toldRole)
                        .thenComparing(k -> k.role == Role.PRIMARY).thenComparing(k -> -k.news()))
                .limit(room / Bulletin.FACT).toList();
        List<Bulletin.Load> loads = known.values().stream().filter(k -> k.own > 0 && !k.twins)
                .sorted(Comparator.comparing((Known k) -> -k.own)).limit((room - out.size() * Bulletin.FACT) / Bulletin.LOAD)
                .map(k -> new Bulletin.Load(Bulletin.key(k.id), k.own)).toList();
        if (out.isEmpty() && loads.isEmpty() && idle) {
            return null;
        }
        var facts = new ArrayList<Bulletin.Fact>(out.size());
        for (Known k : out) {
            facts.add(new Bulletin.Fact(Bulletin.key(k.id), k.role, k.position));
            k.told = k.position;
            k.toldRole = k.role;
        }
        told += facts.size();
        idle = loads.isEmpty();
        byte[] bytes = new Bulletin(me, (long) now, facts, loads).encode();
        saved -= bytes.length;
        return bytes;
    }

    /** What a peer told, as far as it can be believed: never of a database that the own list has not named. */
    public List<Router.Told> heard(double now, byte[] bytes) {
        Bulletin b;
        try {
            b = Bulletin.decode(bytes);
        } catch (Bulletin.Malformed e) {
            return drop(e.getMessage());
        }
        if (b.base() > now + AHEAD_MOST || b.base() < now - LATE_MOST) {
            return drop(b.base() > now ? "ahead" : "late");
        }
        var all = new ArrayList<Router.Told>(b.facts().size());
        for (Bulletin.Fact f : b.facts()) {
            Known k = known.get(f.key());
            if (k == null || k.twins) {
                drop("unlisted");
                continue;
            }
            if (f.position() > k.told) {
                k.told = f.position();
                k.toldRole = f.role();
                all.add(new Router.Told(k.id, f.role(), f.position(), Math.min(now, b.base()), k.others));
                heard++;
            }
        }
        Loads last = peers.get(b.from());
        if (b.from() != me && b.from() <= receivers && (last == null || last.base() < b.base())) {
            count(last, -1);
            peers.put(b.from(), new Loads(b.base(), now, b.loads()));
            count(peers.get(b.from()), 1);
        }
        changes(now, all);
        return all;
    }

    /** What peers that fell silent had in flight is forgotten; the same as {@link #heard}, with nothing heard. */
    public List<Router.Told> look(double now) {
        var all = new ArrayList<Router.Told>();
        changes(now, all);
        return all;
    }

    private void changes(double now, List<Router.Told> all) {
        peers.values().removeIf(p -> {
            boolean silent = now - p.heard() > SILENT_PERIODS * period;
            if (silent) {
                count(p, -1);
            }
            return silent;
        });
        for (Known k : known.values()) {
            if (k.changed) {
                k.changed = false;
                all.add(new Router.Told(k.id, Role.UNKNOWN, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY, k.others));
            }
        }
    }

    private void count(Loads of, int sign) {
        for (Bulletin.Load l : of == null ? List.<Bulletin.Load>of() : of.loads()) {
            Known k = known.get(l.key());
            if (k != null && !k.twins) {
                k.others = Math.max(0, k.others + sign * l.count());
                k.changed = true;
            }
        }
    }

    private List<Router.Told> drop(String why) {
        dropped.merge(why, 1L, Long::sum);
        return List.of();
    }

    /** Facts told and heard, and what was dropped by why, since the start. */
    public Map<String, Long> counts() {
        var all = new TreeMap<String, Long>();
        all.put("hearsay_told", told);
        all.put("hearsay_heard", heard);
        dropped.forEach((why, n) -> all.put("hearsay_dropped_" + why, n));
        return all;
    }
}
