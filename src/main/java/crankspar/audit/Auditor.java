package crankspar.audit;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.Router.Role;
import crankspar.audit.Stand.Origin;
import crankspar.core.Counters;
import crankspar.core.Ports;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntPredicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Drives the audit of one pooler on its loop: what the core sends goes into the ledger under the present stand, what discovery
 * and peers say is stepped through {@link Standing}, and what that wants is carried out through {@link Hands}.
 */
public final class Auditor implements Ports.Audit, AutoCloseable {
    /** What the audit may do with the pooler. All on the loop. */
    public interface Hands {
        /** Asks discovery once, where no watch stands. */
        void ask();
        /** Nothing is sent any more, new connections end at the door, and nobody is told that this pooler is ready; or the end of that. */
        void fence(boolean on);
        /** These databases drain, as two peers say, whatever the own list has. */
        void drained(Set<String> ids);
        /** A datagram to the pooler of this number; lost or late as any. */
        void tell(int pooler, byte[] bytes);
    }

    /** One time at which this pooler was told that a database drains, is gone, or may be used again. */
    public record Notice(String database, double at, boolean drains, Origin origin) { }

    /** {@code folder} may be null: then the ledger lives in memory only. Without {@code stragglers} nothing is ever shut out. */
    public record Setup(String pooler, String build, Path folder, boolean stragglers, StandingSettings standing, List<String> classes, long life) { }

    private static final Logger LOG = Logger.getLogger(Auditor.class.getName());
    /** How often the state is judged where nothing else happens, and how often the file is brought up to date (ms). */
    private static final double TICK = 100;
    private static final double FLUSH = 500;
    private static final int NOTICES_MOST = 1024;
    /** A database that left the list is told to peers as draining for so long (ms). */
    private static final double GONE_TOLD = 30_000;

    private final Ports.Time time;
    private final Counters counters;
    private final Setup setup;
    private final Hands hands;
    private final Stands stands;
    private final Ledger ledger;
    private final Standing standing;
    private final Gossip gossip;
    private final LedgerFile file;
    private final ArrayDeque<Notice> notices = new ArrayDeque<>();
    private final Map<String, Member> listed = new LinkedHashMap<>();
    /** Databases that drain or left, with when that was learned: the latest are told. */
    private final LinkedHashMap<String, Double> draining = new LinkedHashMap<>();
    private final Set<String> byPeers = new HashSet<>();
    private final Set<String> marked = new HashSet<>();
    private final Map<Integer, String> names = new HashMap<>();
    /** Of the listed; each number is an object once, so that an answer costs none. */
    private final Map<String, Integer> groups = new HashMap<>();
    private final AtomicLong unwritten = new AtomicLong();
    private int count;
    private int flushedStand;
    private long flushedEnds;
    private double flushedAt = Double.NEGATIVE_INFINITY;
    private boolean over;

    public Auditor(Ports.Time time, Counters counters, Setup setup, Hands hands) throws IOException {
        this.time = time;
        this.counters = counters;
        this.setup = setup;
        this.hands = hands;
        double now = time.now();
        stands = new Stands(now, setup.build());
        ledger = new Ledger(setup.classes().size());
        standing = new Standing(setup.standing(), now);
        gossip = new Gossip(setup.standing().me(), setup.standing().poolers());
        file = setup.folder() == null ? null : new LedgerFile(setup.folder(), now, LedgerCodec.head(setup.pooler(), setup.classes()), why -> {
            LOG.warning("the ledger's file cannot be written, it is tried again: " + why);
            unwritten.incrementAndGet();
        });
    }

    /** Begins its rounds, on the loop. */
    public void start() {
        tick();
        round();
        if (file != null) {
            flush();
        }
    }

    // ---- What the core does.
    @Override public void sent(String request, String member, int requestClass, double now) { ledger.sent(request, member, requestClass, now); }

    @Override public void answered(String request, Ports.Audit.Answer how, int requestClass, double now) {
        ledger.answered(request, switch (how) {
            case SERVED -> Ledger.Kind.SERVED;
            case REFUSED -> Ledger.Kind.REFUSED;
            case FAILED -> Ledger.Kind.FAILED;
            case CLIENT_LEFT -> Ledger.Kind.FAILED_CLIENT_LEFT;
            case NOT_TAKEN -> Ledger.Kind.FAILED_NOT_TAKEN;
        }, requestClass, now);
    }

    @Override public void role(String member, Role role, double position) {
        Integer group = role == Role.PRIMARY && !Double.isNaN(position) ? groups.get(member) : null;
        if (group != null && !stands.holds(group, member, position)) {
            stand(new Stands.Event.Primary(group, member, position));
        }
    }

    // ---- What is learned.
    public void configured(String text, Origin origin) { stand(new Stands.Event.Configured(text, origin)); }

    public void discovery(String address, Origin origin) { stand(new Stands.Event.Discovery(address, origin)); }

    /** The ids that operators' marks keep from work now; {@code place} counts the changes. */
    public void marked(long place, Collection<String> ids, Origin origin) {
        double now = time.now();
        ids.stream().filter(id -> !marked.contains(id)).forEach(id -> notice(new Notice(id, now, true, origin)));
        marked.stream().filter(id -> !ids.contains(id)).forEach(id -> notice(new Notice(id, now, false, origin)));
        marked.clear();
        marked.addAll(ids);
        stand(new Stands.Event.Marked(place, ids, origin));
    }

    /** The list in force, whole, as it was given at the start or as discovery tells it now. */
    public void listed(long revision, Collection<Member> members, boolean byDiscovery) {
        double now = time.now();
        Origin origin = byDiscovery ? Origin.DISCOVERY : Origin.FILE;
        var next = new LinkedHashMap<String, Member>();
        for (Member m : members) {
            if (m.health() != Health.GONE) {
                next.put(m.id(), m);
            }
        }
        for (Member m : next.values()) {
            Member before = listed.get(m.id());
            boolean drains = m.health() == Health.DRAINING;
            if (drains && (before == null || before.health() != Health.DRAINING)) {
                drain(m.id(), now, origin);
            } else if (!drains && draining.remove(m.id()) != null) {
                notice(new Notice(m.id(), now, false, origin));
            }
        }
        listed.keySet().stream().filter(id -> !next.containsKey(id)).forEach(id -> drain(id, now, origin));
        listed.clear();
        listed.putAll(next);
        draining.entrySet().removeIf(e -> !listed.containsKey(e.getKey()) && now - e.getValue() > GONE_TOLD);
        names.clear();
        groups.clear();
        listed.forEach((id, m) -> {
            names.put(Digest.key(id), id);
            groups.put(id, m.group());
        });
        boolean news = stand(new Stands.Event.Listed(revision, listed.values(), origin));
        if (byDiscovery) {
            word();
        }
        if (news) {
            tell(gossip.news(now, seen(now)));
        }
    }

    private void drain(String id, double now, Origin origin) {
        draining.remove(id);                  // the latest comes last
        draining.put(id, now);
        notice(new Notice(id, now, true, origin));
    }

    private void notice(Notice n) {
        notices.add(n);
        if (notices.size() > NOTICES_MOST) {
            notices.poll();
        }
    }

    /** Discovery has said something, if only that nothing is new. */
    public void word() {
        Stand s = stands.now();
        step(new Standing.Event.Heard(s.revision(), s.content()));
    }

    /** A datagram that begins with {@link Digest#VERSION}. */
    public void told(byte[] bytes) {
        try {
            step(new Standing.Event.Told(Digest.decode(bytes)));
        } catch (Digest.Malformed e) {
            counters.add("audit_dropped_" + e.getMessage());
        }
    }

    public void paused(double ms) { step(new Standing.Event.Paused(ms)); }

    private boolean stand(Stands.Event event) {
        Stand next = stands.step(time.now(), event);
        if (next != null) {
            ledger.stand(next.number());
        }
        return next != null;
    }

    // ---- What comes of it.
    private void tick() {
        if (!over) {
            step(new Standing.Event.Tick());
            time.after(TICK, this::tick);
        }
    }

    private void round() {
        if (!over) {
            tell(gossip.round(seen(time.now())));
            time.after(Gossip.PERIOD, this::round);
        }
    }

    private IntPredicate seen(double now) { return p -> standing.sees(p, now); }

    private void tell(List<Integer> whom) {
        if (whom.isEmpty()) {
            return;
        }
        double now = time.now();
        Stand s = stands.now();
        var drains = new ArrayList<Integer>();
        var ids = new ArrayList<>(draining.keySet());
        for (int i = ids.size() - 1; i >= 0 && drains.size() < Digest.DRAINS_MOST; i--) {
            drains.add(Digest.key(ids.get(i)));
        }
        byte[] bytes = new Digest(setup.standing().me(), (int) setup.life() & 0xffff, ++count & 0xffff, (int) (long) now, standing.state(), standing.wants(),
                s.revision(), s.content(), (int) Math.min(Digest.NEVER, now - standing.confirmed(now)), drains).encode();
        counters.add("audit_digests");
        whom.forEach(p -> hands.tell(p, bytes));
    }

    private void step(Standing.Event event) {
        double now = time.now();
        boolean news = false;
        for (Standing.Effect effect : standing.step(now, event)) {
            if (effect instanceof Standing.Effect.Ask) {
                hands.ask();
            } else if (effect instanceof Standing.Effect.Fence f && setup.stragglers()) {
                hands.fence(f.on());
            } else if (effect instanceof Standing.Effect.Drained d) {
                byPeers(now, d);
            } else if (effect instanceof Standing.Effect.Changed c) {
                LOG.log(c.to().out() || c.from().out() ? Level.WARNING : Level.INFO, "audit: " + c.from().word() + " to " + c.to().word() + ": " + c.why());
                news = true;
            }
        }
        if (news) {
            tell(gossip.news(now, seen(now)));
        }
    }

    private void byPeers(double now, Standing.Effect.Drained d) {
        String id = d.on() ? names.get(d.key()) : byPeers.stream().filter(b -> Digest.key(b) == d.key()).findFirst().orElse(null);
        if (id == null || !(d.on() ? byPeers.add(id) : byPeers.remove(id))) {
            return;                           // one that left the list meanwhile must not stay out when it is back
        }
        notice(new Notice(id, now, d.on(), Origin.PEER));
        LOG.info("audit: " + id + (d.on() ? " drains, as two peers say" : " is as the own list has it"));
        if (setup.stragglers()) {
            hands.drained(Set.copyOf(byPeers));
        }
    }

    /** Writes to the file what has changed since the last time. */
    private void flush() {
        if (over) {
            return;
        }
        write();
        time.after(FLUSH, this::flush);
    }

    private void write() {
        boolean whole = file.full();
        var parts = new ArrayList<byte[]>();
        if (whole) {
            parts.add(LedgerCodec.head(setup.pooler(), setup.classes()));
        }
        for (Stand s : stands.all()) {
            if (whole || s.number() > flushedStand) {
                parts.add(LedgerCodec.stand(s));
            }
        }
        for (Ledger.Row r : ledger.rows()) {
            if (whole || r.last >= flushedAt) {
                parts.add(LedgerCodec.row(r));
            }
        }
        ledger.endsSince(whole ? 0 : flushedEnds).forEach(t -> parts.add(LedgerCodec.end(t)));
        if (!parts.isEmpty() && !file.write(LedgerCodec.all(parts), whole)) {
            counters.add("audit_ledger_dropped");
            return;                           // tried again with the next
        }
        flushedStand = stands.now().number();
        flushedEnds = ledger.endsPlace();
        flushedAt = time.now();
    }

    // ---- What is asked.
    public boolean fenced() { return setup.stragglers() && standing.state().out(); }

    public Standing standing() { return standing; }

    public Stands stands() { return stands; }

    public Ledger ledger() { return ledger; }

    public List<Notice> notices() { return List.copyOf(notices); }

    public Setup setup() { return setup; }

    /** Where in its states it is, as a number, with counts; for metrics. */
    public Map<String, Long> figures() {
        var all = new TreeMap<String, Long>();
        double now = time.now();
        all.put("audit_stand", (long) stands.now().number());
        all.put("audit_state", (long) standing.state().ordinal());
        all.put("audit_list_age_ms", (long) (now - standing.confirmed(now)));
        all.put("audit_peers_seen", (long) standing.seen(now));
        all.put("audit_unconfirmed", standing.unconfirmed(now) ? 1L : 0);
        return all;
    }

    public Map<String, Long> counts() {
        var all = new TreeMap<String, Long>();
        standing.counts().forEach((k, n) -> all.put("audit_" + k, n));
        all.put("audit_rows_dropped", ledger.dropped());
        all.put("audit_ledger_failed", unwritten.get());
        return all;
    }

    double now() { return time.now(); }

    /** On the loop. */
    @Override public void close() {
        over = true;
        if (file != null) {
            write();
            file.close();
        }
    }
}
