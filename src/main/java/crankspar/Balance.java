package crankspar;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The decisions of one proxy. Its types, events and actions stand in Router.java.
 *
 * The ordinary path: zones are sorted by the latency this instance measured; a read goes to the nearest zone
 * with a replica whose known log position meets the read's need, else to the next zone, else to the primary.
 * Writes and fresh reads go to the member last named primary. Everything else here keeps that path sound
 * when the world is not: it waits in line, in the proxy, rather than pile up on a member.
 */
public final class Balance implements Router {
    // ---- Constants: dimensionless shares and counts where possible, else ms. ----
    /** Zones are sorted this often (ms) by the lowest latency of the last WINDOW periods. */
    private static final double PERIOD = 1000;
    private static final int WINDOW = 10;
    /** A replica unheard for this long (ms) is probed, or won back by a read that needs no position. */
    private static final double UNHEARD = 1000;
    /** How often (ms) lines, silences and trials are looked at when nothing else happens. */
    private static final double TICK = 20;
    /** Latency, as a share of the class's aim, above which a member's bound on own requests shrinks. */
    private static final double STRAIN = 0.3;
    /** Sparse: latency, as a share of the aim, that lowers a member's share; others raise it, to a most. */
    private static final double BAD = 0.8;
    private static final double SHARE_DOWN = 0.7;
    private static final double SHARE_UP = 0.05;
    private static final double SHARE_MOST = 1.15;
    /** Mean answers' time that must be left for a send to be worth while. */
    private static final double SLACK = 1.5;
    /** A read never sent is refused after this share of its time, if then only late worth is left at most. */
    private static final double HOLD = 0.49;
    /** A member's requests in flight from all instances: at first, at least (its cores); of ours at most. */
    private static final double FIRST_LIMIT = 8;
    private static final double LEAST = 6;
    private static final double MOST = 64;
    /** Weight of a new sample in a member's averages. */
    private static final double FRESH_WEIGHT = 0.1;
    /** A member that owes this many mean answers, none of which came, is silent (chance of error: e^-6). */
    private static final double OWED = 6;
    /** ... or this many, if peers have heard it since, or cannot tell: it is slow, or the way is cut. */
    private static final double OWED_MOST = 18;
    /** ... and only once nothing came for this share of the oldest one's aim: a crowd is slow, not silent. */
    private static final double SILENT_SHARE = 0.5;
    /** A trial's answer is owed this often before its request is sent elsewhere. */
    private static final double TRIAL_OWED = 1.5;
    /** Wait before the first trial of a silent or erring member, and the most of any doubled wait (ms). */
    private static final double TRIAL_FIRST = 200;
    private static final double WAIT_MOST = 1000;
    /** A member that fails this share of its requests gets no reads but trials. */
    private static final double ERRING = 0.4;
    /** Broken or failed connections in a row that make a member lost: one says more of a connection. */
    private static final int STRIKES = 3;
    /** A member heard again within this long (ms) cannot have started anew meanwhile: it is no colder. */
    private static final double RESTART = 2000;
    /** First wait after a full round of misses in search of a primary, or after being turned away (ms). */
    private static final double PAUSE = 50;
    /** Reads that no replica can take may fill this share of the primary's bound; the rest is the writes'. */
    private static final double SPILL = 0.6;
    /** Second sends of work that may have run: this many for each answer, saved up to EXTRA_MOST. */
    private static final double EXTRA = 0.1;
    private static final double EXTRA_MOST = 10;
    /** Share of a key's time that is used, as a resend travels and waits. */
    private static final double KEY_SHARE = 0.9;
    /** Share of what a cold member could bear by the rule that is sent to it, and sends saved up for it. */
    private static final double COLD_SHARE = 0.4;
    private static final double COLD_MOST = 1.5;
    /** Share of a request's worth that probes may cost, by their price. */
    private static final double PROBE_COST = 0.005;
    /** Discovery is asked again after this long (ms), doubled to a quarter of the time it may be unasked. */
    private static final double ASK_FIRST = 500;
    /** Requests looked at in one walk through a line, and sessions remembered. */
    private static final int SCAN = 48;
    private static final int SESSIONS = 100_000;

    // ---- What is known. ----
    /** One database as this instance sees it. */
    private static final class Db {
        final String id;
        Member entry;
        boolean listed;                       // by discovery's last word on it
        boolean usable;                       // may be sent to: neither draining nor, where that binds, gone
        boolean drained;                      // listed as draining, and not as running since
        Role role = Role.UNKNOWN;             // by the newest note
        double roleAt = Double.NEGATIVE_INFINITY;
        boolean wasPrimary;                   // by a note or list, and no note since has said otherwise
        double position = Double.NEGATIVE_INFINITY;
        double heard = Double.NEGATIVE_INFINITY;
        int others;                           // peers' requests in flight, as told
        double told = Double.NEGATIVE_INFINITY; // when a peer last told something new of it
        double pace = 1;                      // log ms applied a ms
        double probed = Double.NEGATIVE_INFINITY;
        final List<Attempt> out = new ArrayList<>();
        double limit;
        double cutAt = Double.NEGATIVE_INFINITY;
        double strain = STRAIN / 2;           // mean latency as a share of the aim
        double measured, errors;
        boolean silent;
        double shutUntil;                     // it turned one of ours away unseen: a pause, doubled each time
        double shutGap = PAUSE;
        double share = 1;                     // sparse: share of ours taken; a primary spares half for spills
        double owed;                          // means owed by attempts that ended without an answer
        int strikes;                          // connections broken or failed since the last answer
        boolean lost;                         // an outage seen first-hand: it may come back cold
        double coldSince = Double.NEGATIVE_INFINITY;
        double trialAt, trialGap;
        double credit;                        // sends that a cold member may have, earned by arrivals
        final PriorityQueue<Double> ghosts = new PriorityQueue<>(); // until when abandoned work may yet run

        Db(String id) { this.id = id; }
        boolean erring() { return errors > ERRING; }
        int inFlight() { return out.size() + others; }
        double seen() { return Math.max(heard, told); }
    }

    /** One group: its members in id order and who is held to be primary. */
    private static final class Group {
        final List<Db> members = new ArrayList<>();
        /** Writes first, then the newest first: under a standing surge some are served well, not all late. */
        final TreeSet<Work> line = new TreeSet<>(Comparator.comparingInt((Work w) -> w.rank)
                .thenComparingLong(w -> -w.order));
        Db primary;
        double primaryAt = Double.NEGATIVE_INFINITY;
        int next, asked, unanswered;
        double roundAt, roundGap = PAUSE;
        Attempt scout;
    }

    private final class Attempt {
        final Work work;
        final Db db;
        final int number;
        final double sent = now;
        boolean trial, given, cancelled;      // given up: doubled or cancelled

        Attempt(Work work, Db db) {
            this.work = work;
            this.db = db;
            number = work.tries++;
        }
    }

    /** A request that this instance owes an answer. */
    private final class Work {
        final Request request;
        final RequestClass kind;
        final Group group;
        final long order = counter++;
        final double luck = random.nextDouble(); // below a member's share: it may have this one
        final int rank;
        final double end;                     // no answer is of use after the end
        final double need;                    // the position a read must see
        int tries;
        final List<Attempt> out = new ArrayList<>();
        final HashSet<Db> avoid = new HashSet<>();
        boolean mayHaveRun;
        double risk = Double.POSITIVE_INFINITY; // when the first attempt was sent that may have run
        double notBefore;
        boolean done;

        Work(Request request) {
            this.request = request;
            kind = settings.classes().get(request.requestClass());
            group = groups.computeIfAbsent(request.group(), k -> new Group());
            need = needAtStart(request, kind);
            rank = kind.freshness() == Freshness.WRITE ? 0 : 1;
            end = now - settings.round()
                    + (kind.lateShare() > 0 ? request.ttl() : Math.min(kind.aim(), request.ttl()));
        }
        boolean primaryOnly() {
            return kind.freshness() == Freshness.WRITE || kind.freshness() == Freshness.FRESH;
        }
    }

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private double least;                     // known requests in flight that a member always may have
    private boolean sparse;                   // too many for own requests to tell load, and none told
    private final boolean many;               // too many for all to try at once
    private final double scale;               // times as long pauses keep all instances' trials as rare
    private final double tightest;            // the smallest bound on a read's age (ms)
    private final boolean strict;             // replicas answer stale reads: the gate alone keeps the rule
    private final TreeMap<String, Db> dbs = new TreeMap<>();
    private final TreeMap<Integer, Group> groups = new TreeMap<>();
    private final Map<String, Work> works = new HashMap<>();
    private final LinkedHashMap<String, Double> marks = new LinkedHashMap<>();
    private double forgotten = Double.NEGATIVE_INFINITY;
    private final Map<Long, Runnable> timers = new HashMap<>();
    private Map<String, Double> lows = new HashMap<>();
    private Map<String, Double> lowsBefore = new HashMap<>();
    private List<String> zoneOrder;
    private int period;
    private long counter;
    private double now;
    private double extra = EXTRA_MOST;
    private double probes = EXTRA_MOST;
    private boolean ticking;
    private double askGap = ASK_FIRST;

    public Balance(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new Random(settings.seed());
        strict = settings.behind() == Behind.ANSWERS;
        tightest = settings.classes().stream().filter(c -> c.freshness() == Freshness.BOUNDED)
                .mapToDouble(RequestClass::bound).min().orElse(UNHEARD);
        many = sparse = settings.siblings() > LEAST;
        least = Math.max(1, LEAST / settings.siblings());
        scale = Math.max(1, settings.siblings() / LEAST);
        zoneOrder = new ArrayList<>(settings.zones());
        sortZones();
    }

    // ---- Start, timers and discovery. ----
    @Override public void onStart(double at) {
        now = at;
        if (settings.askDiscovery()) {
            actions.watch(true);
        }
        after(PERIOD, this::everyPeriod);
    }

    private void after(double delay, Runnable what) {
        long cookie = counter++;
        timers.put(cookie, what);
        actions.setTimer(Math.max(0, delay), cookie);
    }

    @Override public void onTimer(double at, long cookie) {
        now = at;
        Runnable what = timers.remove(cookie);
        if (what != null) {
            what.run();
        }
    }

    /** Asks again with a doubling, jittered wait, well within the time after which lists count as told. */
    @Override public void onWatchLost(double at) {
        now = at;
        double wait = askGap * (0.5 + random.nextDouble());
        askGap = Math.min(2 * askGap, Math.max(ASK_FIRST, settings.rules().askEvery() / 4));
        after(wait, () -> actions.watch(true));
    }

    @Override public void onMembers(double at, ListKind kind, List<Member> members) {
        now = at;
        if (kind != ListKind.OLD_COPY) {
            askGap = ASK_FIRST;
        }
        if (kind != ListKind.CHANGES) {
            dbs.values().forEach(db -> {
                db.listed = false;
                db.usable &= settings.rules().softRemoval();
            });
        }
        for (Member m : members) {
            learn(m);
        }
        new ArrayList<>(dbs.values()).forEach(this::forget);
        groups.values().forEach(this::pump);
    }

    /**
     * A member that left for good counts no more: else a day of replacements would leave the new ones an ever
     * smaller share of its group's arrivals, and tables that only grow.
     */
    private void forget(Db db) {
        if (db.listed || db.usable || !db.out.isEmpty()) {
            return;
        }
        Group g = groups.get(db.entry.group());
        dbs.remove(db.id);
        g.members.remove(db);
        g.primary = g.primary == db ? null : g.primary;
        if (g.members.isEmpty() && g.line.isEmpty()) {
            groups.remove(db.entry.group());
        }
    }

    private void learn(Member m) {
        Db db = dbs.get(m.id());
        if (db == null && m.health() == Health.GONE) {
            return;
        }
        if (db == null) {
            db = new Db(m.id());
            db.limit = firstLimit();
            db.credit = random.nextDouble();
            db.trialGap = TRIAL_FIRST * scale;
            dbs.put(m.id(), db);
        } else if (db.entry.group() != m.group()) {
            groups.get(db.entry.group()).members.remove(db);
        }
        db.entry = m;
        db.drained = m.health() == Health.DRAINING || db.drained && m.health() == Health.GONE;
        db.listed = m.health() != Health.GONE;
        db.usable = m.health() == Health.RUNNING || settings.rules().softRemoval() && !db.drained;
        if (m.lastStart() > Math.max(0, db.coldSince)) {
            db.coldSince = m.lastStart();
            db.credit = random.nextDouble();  // all instances hear of it at once, and are not to send at once
        }
        Group g = groups.computeIfAbsent(m.group(), k -> new Group());
        if (!g.members.contains(db)) {
            g.members.add(db);
            g.members.sort(Comparator.comparing(x -> x.id));
        }
        if (m.listedPrimary() && db.role != Role.REPLICA) {
            db.wasPrimary = true;
        }
    }

    private double firstLimit() {
        return Math.max(least, sparse || !many ? FIRST_LIMIT / settings.siblings() : FIRST_LIMIT);
    }

    // ---- Who is primary: the newest note wins, before any note the list, else members are asked. ----
    private void noteRole(Db db, Role role, double at) {
        if (role == Role.UNKNOWN || at < db.roleAt) {
            return;
        }
        Group g = groups.get(db.entry.group());
        db.role = role;
        db.roleAt = at;
        db.wasPrimary = role == Role.PRIMARY;
        if (role == Role.PRIMARY && at >= g.primaryAt) {
            if (g.primary != null && g.primary != db) {
                new ArrayList<>(g.primary.out).forEach(a -> rescue(a, true));
            }
            g.primary = db;
            g.primaryAt = at;
            g.roundGap = PAUSE;
            g.asked = 0;
        } else if (role == Role.REPLICA && g.primary == db) {
            g.primary = null;
            g.next = g.members.indexOf(db) + 1;
            g.asked = 0;
        }
    }

    /** The member to hold for primary, or null while that is open. */
    private Db believed(Group g) {
        if (g.primary != null) {
            return g.primary.usable ? g.primary : null;
        }
        return g.members.stream().filter(m -> m.usable && m.entry.listedPrimary() && m.role == Role.UNKNOWN)
                .findFirst().orElse(null);
    }

    /** Where a write or fresh read goes; a search has one request out at a time, the others wait unsent. */
    private Db choosePrimary(Work w) {
        Group g = w.group;
        Db p = believed(g);
        if (p != null && !p.silent) {
            return room(p, w, false) ? p : null;
        }
        if (p != null && trialDue(p, w)) {
            return p;
        }
        boolean risky = strict && w.kind.freshness() != Freshness.WRITE; // a guess might answer from old data
        if (risky || g.scout != null || now < g.roundAt || w.tries + 2 > settings.limits().mostTries()) {
            return null;
        }
        for (int i = 0; i < g.members.size(); i++) {
            Db db = g.members.get((g.next + i) % g.members.size());
            if (db.usable && db != p && (!db.silent || trialDue(db, w)) && room(db, w, false)) {
                return db;
            }
        }
        return null;
    }

    /** A searcher missed: on to the next in id order, and a wait once a full round has missed. */
    private void searchOn(Work w, Db missed) {
        Group g = w.group;
        boolean known = g.primary != null && g.primary != missed && !g.primary.silent;
        if (w.kind.freshness() != Freshness.WRITE || known) {
            return;
        }
        g.next = g.members.indexOf(missed) + 1;
        if (++g.asked >= g.members.stream().filter(m -> m.usable && !m.silent).count()) {
            g.asked = 0;
            g.roundAt = now + g.roundGap * (0.75 + random.nextDouble() / 2);
            g.roundGap = Math.min(2 * g.roundGap, WAIT_MOST);
        }
    }

    // ---- Positions and the gate. ----
    private void notePosition(Db db, double position, double at) {
        if (Double.isNaN(position)) {
            return;
        }
        if (db.position > Double.NEGATIVE_INFINITY && at > db.heard && position >= db.position) {
            double pace = Math.min(1, (position - db.position) / (at - db.heard));
            db.pace += FRESH_WEIGHT * (pace - db.pace);
        }
        db.position = Math.max(db.position, position);
    }

    /**
     * The gate. Bounds age with the clock, session marks do not. Where replicas check reads, a position may
     * be thought on at the pace seen: a wrong guess is a miss.
     */
    private boolean passes(Db db, Work w) {
        double need = need(w);
        double thoughtOn = strict ? 0 : db.pace * Math.max(0, now - db.heard);
        return need == Double.NEGATIVE_INFINITY || db.position + thoughtOn >= need
                || !strict && w.kind.freshness() == Freshness.BOUNDED && now - db.heard > UNHEARD;
    }

    private double need(Work w) {
        return w.kind.freshness() == Freshness.BOUNDED ? Math.max(now - w.kind.bound(), w.need) : w.need;
    }

    private double needAtStart(Request r, RequestClass kind) {
        if (kind.freshness() == Freshness.FRESH) {
            return now;
        }
        boolean paged = kind.freshness() == Freshness.BOUNDED && r.markAge() > 0; // a later page: never back
        if (kind.freshness() != Freshness.SESSION && !paged) {
            return Double.NEGATIVE_INFINITY;
        }
        if (paged || settings.sessionMarks() == SessionMarks.CARRIED) {
            return r.markAge() > 0 ? now - r.markAge() : Double.NEGATIVE_INFINITY;
        }
        return r.session() == null ? forgotten : marks.getOrDefault(r.session(), forgotten);
    }

    private void remember(String session, double commit) {
        if (session == null || settings.sessionMarks() == SessionMarks.CARRIED || Double.isNaN(commit)) {
            return;
        }
        double last = marks.getOrDefault(session, commit);
        marks.remove(session);
        marks.put(session, Math.max(last, commit));
        if (marks.size() > SESSIONS) {
            var oldest = marks.entrySet().iterator();
            forgotten = Math.max(forgotten, oldest.next().getValue());
            oldest.remove();
        }
    }

    // ---- Zones by the lowest latency of late: that follows the link, not the load. ----
    private void noteLatency(Db db, double elapsed) {
        lows.merge(db.entry.zone(), elapsed, Math::min);
    }

    private double distance(String zone) {
        Double low = lows.getOrDefault(zone, lowsBefore.get(zone));
        return low != null ? Math.min(low, lowsBefore.getOrDefault(zone, low))
                : zone.equals(settings.zone()) ? 0 : Double.POSITIVE_INFINITY;
    }

    private void sortZones() {
        dbs.values().stream().map(db -> db.entry.zone()).filter(z -> !zoneOrder.contains(z)).distinct()
                .toList().forEach(zoneOrder::add);
        zoneOrder.sort(Comparator.comparingDouble(this::distance));
    }

    private void everyPeriod() {
        sortZones();
        if (++period % (WINDOW / 2) == 0) {
            lowsBefore = lows;
            lows = new HashMap<>();
        }
        // Members long unheard are probed, oldest first: for the zone's distance, sooner for their position.
        double quiet = settings.reports() == Reports.IN_PROBES ? UNHEARD : PERIOD * WINDOW / 2;
        dbs.values().stream().filter(db -> now - Math.max(db.heard, db.probed) > quiet)
                .sorted(Comparator.comparingDouble(db -> db.probed)).toList().forEach(this::probe);
        dbs.values().forEach(db -> db.share = Math.max(db.share, Math.min(1, db.share + SHARE_UP / 4)));
        after(PERIOD, this::everyPeriod);
    }

    private void probe(Db db) {
        if (settings.limits().probes() && db.usable && probes >= 1) {
            probes--;
            db.probed = now;
            actions.probe(db.id);
        }
    }

    /** A probe's position and role are as old as its report; a primary's position dates it. */
    @Override public void onProbe(double at, ProbeResult r) {
        now = at;
        Db db = dbs.get(r.member());
        if (db == null) {
            return;
        }
        if (!r.ok()) {
            db.lost |= db.silent;
            return;
        }
        noteLatency(db, r.elapsed());
        if (!Double.isNaN(r.position())) {
            db.position = Math.max(db.position, r.position());
            noteRole(db, r.role(), r.position());
        }
        pump(groups.get(db.entry.group()));
    }

    /** What peers learned first-hand, never empty: a position stays true however late, and dates its role. */
    @Override public void onHearsay(double at, List<Told> what) {
        now = at;
        if (sparse == what.get(0).inFlight() >= 0) { // bounds hold for all in flight while that is told
            sparse = !sparse;
            least = sparse ? Math.max(1, LEAST / settings.siblings()) : LEAST;
            dbs.values().forEach(db -> db.limit = firstLimit());
        }
        for (Told h : what) {
            Db db = dbs.get(h.member());      // one that the own list has not named is none of ours
            if (db != null && h.position() < now + UNHEARD) {
                if (h.at() > db.told) {
                    back(db);
                    db.told = h.at();
                }
                db.position = Math.max(db.position, h.position());
                noteRole(db, h.role(), h.position());
                db.others = Math.max(0, h.inFlight());
            }
        }
        groups.values().forEach(this::pump);
    }

    // ---- The pick. ----
    private Db chooseReplica(Work w) {
        var near = new ArrayList<Db>();
        Db due = null;
        boolean seek = strict && believed(w.group) == null;
        for (String zone : zoneOrder) {
            for (Db db : w.group.members) {
                if (!db.usable || !db.entry.zone().equals(zone) || db == w.group.primary
                        || w.avoid.contains(db) || !passes(db, w)) {
                    continue;
                }
                if (db.silent || db.erring()) {
                    due = due == null && trialDue(db, w) && w.out.isEmpty() && w.tries == 0 ? db : due;
                } else if (room(db, w, false)) {
                    if (seek && db.role == Role.UNKNOWN) {
                        return db;
                    }
                    near.add(db);
                }
            }
            if (near.size() >= 2 && !seek) {
                break;
            }
        }
        if (due != null || near.isEmpty()) {
            return due;
        }
        Db one = near.get(random.nextInt(near.size()));
        Db two = near.get(random.nextInt(near.size()));
        int cmp = Integer.compare(two.inFlight(), one.inFlight());
        boolean strained = sparse && Math.max(one.strain, two.strain) > STRAIN;
        boolean tie = strained ? two.strain < one.strain : many && one.entry.zone().equals(two.entry.zone())
                ? random.nextBoolean() : near.indexOf(two) < near.indexOf(one);
        return cmp < 0 || cmp == 0 && tie ? two : one;
    }

    /**
     * A read that may hold up replay for longer than the tightest bound waits for the replica furthest
     * behind, so that the others stay fresh; all instances see the same one. Harm: it waits.
     */
    private boolean stalls(Work w) {
        return w.kind.freshness() == Freshness.ANY && w.kind.aim() * STRAIN > tightest;
    }

    private Db furthestBehind(Work w) {
        return w.group.members.stream().filter(m -> m.usable && !m.silent && !m.erring()
                && m != w.group.primary && !w.avoid.contains(m))
                .min(Comparator.comparingDouble(m -> m.position)).orElse(null);
    }

    private Db choose(Work w) {
        if (w.primaryOnly()) {
            return choosePrimary(w);
        }
        Db last = stalls(w) ? furthestBehind(w) : null;
        if (last != null) {
            return room(last, w, false) ? last : null;
        }
        Db db = chooseReplica(w);
        Db p = believed(w.group);
        if (db != null && !(sparse && db.strain > STRAIN && p != null && p.strain < db.strain && !p.silent
                && !p.erring() && room(p, w, true))) {
            return db;
        }
        if (p == null || w.avoid.contains(p) || p.erring() && !trialDue(p, w)) {
            return null;
        }
        return p.silent ? trialDue(p, w) ? p : null : room(p, w, true) ? p : null;
    }

    /**
     * Whether a member may have this one of ours too, by its bound and its cold budget. In a large fleet own
     * requests in flight say nothing: until peers tell theirs, each request draws its luck once there, and a
     * member takes the share of them that its answers' times allow.
     */
    private boolean room(Db db, Work w, boolean spill) {
        if (now < db.shutUntil || cold(db) && db.credit < 1) {
            return false;
        }
        if (sparse) {
            return w.luck < (db.wasPrimary ? 2 * db.share : db.share) - (spill ? 1 : 0);
        }
        while (!db.ghosts.isEmpty() && db.ghosts.peek() <= now) {
            db.ghosts.poll();
        }
        return db.inFlight() + db.ghosts.size() < Math.max(1, db.limit * (spill ? SPILL : 1));
    }

    private boolean trialDue(Db db, Work w) {
        return now >= Math.max(db.trialAt, db.shutUntil) && (!cold(db) || db.credit >= 1)
                && (!many || w.luck < db.share); // trials of many instances can keep a jam alive
    }

    // ---- Cold members: each arrival earns a share of a send, by what the member can do by now. ----
    /**
     * A warm member's even share of its group's arrivals is work that it can bear; a cold one gets its part.
     * Fractions add up: any number of instances together keep the budget, knowing no rate and no size.
     */
    private void earn(Group g) {
        probes = Math.min(EXTRA_MOST, probes + PROBE_COST / Math.max(PROBE_COST, settings.prices().probe()));
        Guarantees rules = settings.rules();
        for (Db db : g.members) {
            if (cold(db)) {
                double grown = db.lost ? 0 : Math.max(0, now - db.coldSince) / rules.rampTime();
                double able = rules.coldFrom() + (1 - rules.coldFrom()) * grown;
                double share = Math.min(1, COLD_SHARE * rules.fallMultiple()) * able / g.members.size();
                db.credit = Math.min(COLD_MOST, db.credit + share);
            }
        }
    }

    private boolean cold(Db db) {
        return db.lost || now - db.coldSince < settings.rules().rampTime();
    }

    // ---- Requests and the line. ----
    @Override public void onRequest(double at, Request r) {
        now = at;
        var w = new Work(r);
        works.put(r.id(), w);
        earn(w.group);
        w.group.line.add(w);
        after(w.end - now, () -> giveUp(w));
        if (w.kind.repeat() == Repeat.SAFE && !w.primaryOnly() && !stalls(w)
                && (w.kind.lateShare() == 0 || HOLD * r.ttl() >= w.kind.aim())) {
            after(HOLD * r.ttl(), () -> {
                if (w.tries == 0) {
                    giveUp(w);
                }
            });
        }
        if (!ticking) {
            ticking = true;
            after(TICK, this::tick);
        }
        pump(w.group);
    }

    /** Sends what can be sent, in order of rank and aim. */
    private void pump(Group g) {
        if (g == null || g.line.isEmpty()) {
            return;
        }
        for (Work w : g.line.stream().limit(SCAN).toList()) {
            if (w.done || now < w.notBefore) {
                continue;
            }
            if (hopeless(w)) {
                giveUp(w);
                continue;
            }
            Db db = choose(w);
            if (db != null) {
                send(w, db);
            }
        }
    }

    /** Too little time is left for a mean answer of the group's best member. */
    private boolean hopeless(Work w) {
        double best = w.group.members.stream().filter(m -> m.usable).mapToDouble(m -> m.strain).min()
                .orElse(0);
        return w.out.isEmpty() && w.end - now < SLACK * best * w.kind.aim();
    }

    /** Every send passes here: the guards for the rules. */
    private boolean send(Work w, Db db) {
        boolean again = w.mayHaveRun || !w.out.isEmpty();
        boolean wrongPlace = !db.usable || db.entry.group() != w.request.group();
        boolean tooLate = w.done || w.tries >= settings.limits().mostTries() || now >= w.end;
        boolean copy = !w.out.isEmpty()
                && (!settings.limits().secondCopies() || w.out.stream().anyMatch(a -> a.db == db));
        boolean stale = strict && w.rank > 0 && db.position < need(w) && !db.wasPrimary;
        if (wrongPlace || tooLate || copy || stale || again && (!repeatable(w) || extra < 1)) {
            return false;
        }
        extra -= again ? 1 : 0;
        var a = new Attempt(w, db);
        a.trial = db.silent || db.erring();
        if (a.trial) {
            db.trialAt = now + db.trialGap;
            db.trialGap = Math.min(WAIT_MOST * scale, db.trialGap * 1.5);
        }
        if (w.kind.freshness() == Freshness.WRITE && believed(w.group) != db) {
            w.group.scout = a;
        }
        w.risk = again ? w.risk : now;
        w.out.add(a);
        db.out.add(a);
        db.credit -= cold(db) ? 1 : 0;
        w.group.line.remove(w);
        actions.send(w.request.id(), db.id, w.kind.lateShare() > 0 ? 0 : w.end - now);
        return true;
    }

    /** Whether a request that may have run may be sent again: safe ones, and keyed ones while known. */
    private boolean repeatable(Work w) {
        return w.kind.repeat() == Repeat.SAFE
                || w.kind.repeat() == Repeat.KEYED && now - w.risk < KEY_SHARE * w.kind.keyTtl();
    }

    // ---- Outcomes. ----
    @Override public void onOutcome(double at, Outcome o) {
        now = at;
        Work w = works.get(o.request());
        Db db = dbs.get(o.member());
        Attempt a = w == null ? null
                : w.out.stream().filter(x -> x.number == o.number()).findFirst().orElse(null);
        if (db == null || a == null) {
            return;
        }
        w.out.remove(a);
        db.out.remove(a);
        if (w.group.scout == a) {
            w.group.scout = null;
        }
        judge(db, a, o);
        forget(db);
        if (!o.status().neverRan) {
            w.mayHaveRun = true;
        } else if (!w.mayHaveRun && w.out.isEmpty()) {
            w.risk = Double.POSITIVE_INFINITY;
        }
        if (o.over() || w.done) {
            finish(w);
        } else {
            goOn(w, db, o.status());
        }
        pump(w.group);
    }

    /** What an outcome says of its member. */
    private void judge(Db db, Attempt a, Outcome o) {
        RequestClass kind = a.work.kind;
        boolean answer = o.status() == Status.OK || o.status() == Status.MISS || o.status() == Status.FULL
                || o.status() == Status.ERROR;
        if (answer) {
            boolean committed = o.status() == Status.OK && kind.freshness() == Freshness.WRITE;
            notePosition(db, committed ? o.position() - 1 : o.position(), now);
            noteRole(db, o.role(), now);
            noteLatency(db, o.elapsed());
            back(db);
            db.strikes = 0;
            db.heard = now;
            if (o.status() != Status.FULL) {  // what is turned away unseen proves nothing
                db.silent = false;
                db.owed = 0;
            }
            if (committed) {
                remember(a.work.request.session(), o.position());
            }
        }
        if (o.status() == Status.TIMEOUT || o.status() == Status.CANCELLED) {
            if (!sparse) {
                db.ghosts.add(now + db.strain * kind.aim()); // it may run on, and crowd what comes after it
            }
            if (now - db.heard > o.elapsed()) {
                db.owed += Math.min(OWED / 2, o.elapsed() / Math.max(TICK, db.strain * kind.aim()));
            }
        }
        switch (o.status()) {
            case OK -> {
                extra = Math.min(EXTRA_MOST, extra + EXTRA);
                db.shutGap = PAUSE;
                a.work.group.unanswered = 0;
                db.errors *= 1 - weight(db);
                db.trialGap = db.erring() ? db.trialGap : TRIAL_FIRST * scale;
                measure(db, o.elapsed(), kind.aim());
            }
            case ERROR -> {
                db.errors += Math.max(2 * FRESH_WEIGHT, weight(db)) * (1 - db.errors);
                db.measured = now;
            }
            case RESET -> {                   // this says more of a connection than of its member
                db.strikes++;
                db.errors += FRESH_WEIGHT / 2 * (1 - db.errors);
            }
            case FULL -> {
                cut(db);
                lower(db, a.work.group);
                db.shutUntil = now + db.shutGap * (0.5 + random.nextDouble());
                db.shutGap = Math.min(WAIT_MOST * scale, 2 * db.shutGap);
            }
            case TIMEOUT, CANCELLED -> {
                if (o.status() == Status.TIMEOUT) {
                    lower(db, a.work.group);
                }
                if (o.elapsed() > db.strain * kind.aim()) {
                    measure(db, o.elapsed(), kind.aim()); // at least: it would have come later still
                }
            }
            case CONNECT_FAILED -> {
                if (++db.strikes >= STRIKES || !sparse && now - db.seen() > UNHEARD) {
                    db.lost = true;
                    fallSilent(db);
                } else {
                    db.shutUntil = Math.max(db.shutUntil, now + PAUSE * (0.5 + random.nextDouble()));
                }
            }
            case MISS -> searchOn(a.work, db);
            default -> { }
        }
    }

    /** A lost member gives a sign of life: unless it was seen a moment ago, it may have come back cold. */
    private void back(Db db) {
        if (db.lost && now - db.seen() > RESTART) {
            db.coldSince = now;
            db.limit = Math.min(1, db.limit);
        }
        db.lost = false;
    }

    /** The bound on own requests: up while answers come well within the aim, down when they do not. */
    private void measure(Db db, double elapsed, double aim) {
        double strain = elapsed / aim;
        db.strain += weight(db) * (Math.min(strain, 2) - db.strain);
        db.measured = now;
        if (db.strain > STRAIN) {
            cut(db);
        } else if (db.inFlight() + 1 >= db.limit * 0.7) {
            db.limit = Math.min(MOST, db.limit + 1 / db.limit);
        }
        db.share = strain > BAD ? db.share * SHARE_DOWN : Math.min(SHARE_MOST, db.share + SHARE_UP);
    }

    /** Each attempt in a row that its group left unanswered weighs more: one is a lost answer, many a jam. */
    private void lower(Db db, Group g) {
        db.share *= Math.pow(SHARE_DOWN, Math.min(OWED, ++g.unanswered));
    }

    /** Rare samples weigh more: no bound stays shut on old news. */
    private double weight(Db db) {
        return Math.max(FRESH_WEIGHT, Math.min(0.5, (now - db.measured) / PERIOD));
    }

    private void cut(Db db) {
        if (now - db.cutAt > TICK * 5) {
            db.cutAt = now;
            db.limit = Math.max(least, db.limit * 0.8);
        }
    }

    private void goOn(Work w, Db db, Status status) {
        if (w.kind.repeat() == Repeat.SAFE || status != Status.ERROR) {
            w.avoid.add(db);
        } else {
            w.notBefore = now + TICK;
        }
        if (!w.out.isEmpty()) {
            return;                           // another copy is still out
        }
        if (now >= w.end || w.mayHaveRun && !repeatable(w) || w.tries >= settings.limits().mostTries()) {
            giveUp(w);
            return;
        }
        if (w.avoid.size() >= w.group.members.size()) {
            w.avoid.clear();
            w.notBefore = now + TICK;
        }
        w.group.line.add(w);
    }

    // ---- Final answers: exactly one for each request. ----
    private void giveUp(Work w) {
        if (w.done) {
            return;
        }
        boolean harmless = w.kind.repeat() == Repeat.SAFE || !w.mayHaveRun && w.out.isEmpty()
                || w.kind.repeat() == Repeat.KEYED && w.kind.scope() == DedupScope.ALL;
        finish(w);
        if (harmless) {
            actions.refuse(w.request.id(), settings.limits().maxRetryAfter());
        } else {
            actions.fail(w.request.id());
        }
    }

    /** The request is over; attempts still out are called off, and awaited for their news. */
    private void finish(Work w) {
        if (!w.done) {
            w.done = true;
            w.group.line.remove(w);
            w.out.forEach(this::cancel);
        }
        if (w.out.isEmpty()) {
            works.remove(w.request.id());
        }
        if (w.group.members.isEmpty() && w.group.line.isEmpty()) {
            groups.remove(w.request.group(), w.group); // one that only a request has named
        }
    }

    private void cancel(Attempt a) {
        if (settings.limits().cancelling() && !a.cancelled) {
            a.given = a.cancelled = true;
            actions.cancel(a.work.request.id(), a.number);
        }
    }

    @Override public void onGone(double at, String request) {
        now = at;
        Work w = works.get(request);
        if (w != null) {
            finish(w);
        }
    }

    @Override public Set<String> avoided() {
        return dbs.values().stream().filter(db -> db.listed && (!db.usable || db.silent || db.erring()))
                .map(db -> db.id).collect(Collectors.toSet());
    }

    // ---- Silence: attempts out, nothing back. ----
    private void tick() {
        for (Db db : dbs.values()) {
            if (!db.out.isEmpty()) {
                watchFor(db);
            }
        }
        groups.values().forEach(this::pump);
        ticking = !works.isEmpty();
        if (ticking) {
            after(TICK, this::tick);
        }
    }

    private void watchFor(Db db) {
        double owed = db.owed;
        Attempt oldest = db.out.get(0);
        boolean quiet = now - Math.max(oldest.sent, db.heard) > SILENT_SHARE * oldest.work.kind.aim();
        for (Attempt a : new ArrayList<>(db.out)) {
            double one = (now - Math.max(a.sent, db.heard)) / Math.max(TICK, db.strain * a.work.kind.aim());
            owed += one;
            if (a.trial && one > TRIAL_OWED) {
                rescue(a, false);
            }
        }
        if (owed > (sparse || db.told > oldest.sent ? OWED_MOST : OWED) && quiet && !db.silent) {
            fallSilent(db);
        }
    }

    /** Guards against a hang, a cut link, a vanished machine: only trials, and what is out moves on. */
    private void fallSilent(Db db) {
        if (!db.silent) {
            db.silent = true;
            db.trialAt = now + db.trialGap;
            probe(db);
        }
        Group g = groups.get(db.entry.group());
        g.scout = g.scout != null && g.scout.db == db ? null : g.scout;
        new ArrayList<>(db.out).forEach(a -> rescue(a, false));
    }

    /** Sends work elsewhere, beside the first copy or in its place; the primary's only to a new one. */
    private void rescue(Attempt a, boolean newPrimary) {
        Work w = a.work;
        if (w.done || a.given || w.primaryOnly() != newPrimary || w.out.size() > 1 || !repeatable(w)) {
            return;
        }
        w.avoid.add(a.db);
        if (settings.limits().secondCopies()) {
            a.given = true;
            w.group.line.add(w);
        } else {
            cancel(a);
        }
    }
}
