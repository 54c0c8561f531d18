package crankspar.core;

import crankspar.Router;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Outcome;
import crankspar.Router.Role;
import crankspar.Router.Status;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Keeps what is owed: requests, their attempts and their deadlines. It feeds the decision module with what
 * happens and carries out what the module wants through small ports. It knows no wire: a front's queries and
 * answers pass through unread. Nothing here routes, retries or judges a member.
 *
 * @param <Q> a front's queries
 * @param <A> its answers
 */
public final class Pooler<Q, A> implements Router.Actions {
    /** Time as Unix ms that never goes back, and timers on the thread that owns all state. */
    public interface Time {
        double now();
        void after(double ms, Runnable what);
    }

    /** An attempt that is out. */
    public interface Call {
        /** Gives it up by ending its connection; tells how far it had come. No end is told after this. */
        Reach abandon();
    }

    /** What an attempt tells of itself, each thing once at most. */
    public interface Hearer<A> {
        /** Its last byte has left. */
        default void written() { }
        /**
         * An answer too long to hold has begun: it is passed on as it comes, and its end is told as any other.
         * False where nobody waits for it any more.
         */
        default boolean began(A answer) { return false; }
        /**
         * Its member has answered, and the connection stays its client's: a transaction that goes on. As
         * {@link #began}, but the module hears of it now, whatever its class: how long a client takes between two
         * statements says nothing of its member.
         */
        default boolean held(A answer, AttemptEnd.Note note) { return false; }
        void ended(AttemptEnd<A> end);
    }

    /** Where a request's one final answer goes. */
    public interface Reply<A> {
        /** The answer has begun, and the rest comes as the server gives it; the final answer tells how it ended. */
        default void began(A answer) { throw new UnsupportedOperationException("answers are taken whole here"); }
        void answer(FinalAnswer<A> answer);
    }

    /** Where attempts go. An end may be told before {@code send} has returned. */
    public interface Backends<Q, A> {
        /**
         * Sends once, whole, or not at all; {@code left} ms will be waited. A connection that takes longer than
         * {@code within} ms to come up is too late for it.
         */
        Call send(String member, Q query, double left, double within, Hearer<A> hearer);
        Call probe(String member, Consumer<AttemptEnd<A>> end);
    }

    /** Who probes for several, so that not each has to. */
    public interface Probes {
        /** Whether this member's probes are taken care of: its results come by {@link #probed}. */
        boolean takes(Pooler<?, ?> core, String member);
    }

    /** The way to the other poolers: each message to all of them, late or never. */
    public interface Peers {
        void tell(byte[] message);
    }

    /** What a probe found; {@code position} is Unix ms or NaN. */
    public interface Probed {
        void tell(boolean ok, double elapsed, Role role, double position);
    }

    /** Who keeps what was sent under which stand; see the package {@code audit}. Off the path of a request where there is none. */
    public interface Audit {
        enum Answer { SERVED, REFUSED, FAILED }
        /** An attempt's last byte has left; it counts under the present stand. */
        void sent(String request, String member, int requestClass, double now);
        void answered(String request, Answer how, int requestClass, double now);
        /** What an answer told of its member; {@code position} is Unix ms or NaN. */
        void role(String member, Role role, double position);
    }

    /** The list of members: ends of a watch come back through {@link #watchLost}. */
    public interface Discovery {
        void watch(boolean on);
    }

    /** What a front has taken. The mark is the position (Unix ms) that a session's read must see, or NaN. */
    public record Ask<Q>(int requestClass, double ttl, String session, double mark, int group, Q query) { }

    private static final Logger LOG = Logger.getLogger(Pooler.class.getName());
    /**
     * A bounded read's data ages while its connection comes up, but the module judged it at once: sent later
     * than this (ms), it could be answered from data past its bound.
     */
    private static final double AGEING_MOST = 40;
    /** How far (ms) two clocks and their roundings may differ. */
    private static final double AHEAD_MOST = 100;
    /** Share of the rule's slack after a deadline at which the core answers by itself: a last guard. */
    private static final double LAST = 0.5;

    private final class Owed {
        final Ask<Q> ask;
        final Reply<A> reply;
        final double taken;
        final double deadline;
        final String name;
        int sent;
        boolean mayHaveRun, over, begun;
        Attempt out;

        Owed(Ask<Q> ask, Reply<A> reply, double now, String name) {
            this.name = name;
            this.ask = ask;
            this.reply = reply;
            taken = now;
            deadline = now + ask.ttl();
        }
    }

    private final class Attempt implements Hearer<A> {
        final String request;
        final Owed owed;
        final int number;
        final String member;
        final double sent = now();
        Call call;
        boolean ended, written, told;

        Attempt(String request, Owed owed, String member) {
            this.request = request;
            this.owed = owed;
            this.member = member;
            number = owed.sent++;
        }

        /** Told by the wire or, where an answer overtakes that, known from how it ended. */
        @Override public void written() {
            if (!written) {
                written = true;
                figures.written();
                if (audit != null) {
                    audit.sent(owed.name, member, owed.ask.requestClass(), now());
                }
            }
        }

        @Override public boolean began(A answer) {
            boolean write = settings.classes().get(owed.ask.requestClass()).freshness() == Router.Freshness.WRITE;
            return Pooler.this.began(this, answer, write ? null : AttemptEnd.Note.NONE);
        }

        @Override public boolean held(A answer, AttemptEnd.Note note) {
            return Pooler.this.began(this, answer, plausible(note));
        }

        @Override public void ended(AttemptEnd<A> end) { Pooler.this.ended(this, end); }
    }

    private final Router.Settings settings;
    private final Time time;
    private final Backends<Q, A> backends;
    private final Discovery discovery;
    private final Counters counters;
    private final Router module;
    private final Map<String, Owed> owed = new HashMap<>();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private final Figures figures;
    private boolean busy;
    private long ids;
    private int owing;
    private Runnable whenQuiet = () -> { };
    private Probes probes;
    private Audit audit;
    private java.util.function.Function<Q, String> naming;
    private Peers peers = message -> { };
    private double lastAnswer = Double.POSITIVE_INFINITY;

    public Pooler(Router.Settings settings, Time time, Backends<Q, A> backends, Discovery discovery,
                  Counters counters, BiFunction<Router.Settings, Router.Actions, Router> maker) {
        this.settings = settings;
        this.time = time;
        this.backends = backends;
        this.discovery = discovery;
        this.counters = counters;
        figures = new Figures(settings.classes().size());
        module = maker.apply(settings, this);
    }

    // ---- What happens. Every event passes through the queue: the module is never called inside its own call.
    public void start(List<Member> known) {
        event(() -> {
            module.onStart(now());
            module.onMembers(now(), ListKind.OLD_COPY, known);
        });
    }

    public void members(ListKind kind, List<Member> members) {
        event(() -> module.onMembers(now(), kind, members));
    }

    public void watchLost() { event(() -> module.onWatchLost(now())); }

    /** Whatever is taken from now on gets its answer by this time at the latest: the process ends after it. */
    public void answerBy(double time) { lastAnswer = time; }

    /** Takes a request; its reply is called exactly once unless {@link #gone} comes first. */
    public String take(Ask<Q> asked, Reply<A> reply) {
        String id = Long.toString(++ids, 36);
        counters.add("taken");
        double now = now();
        double ttl = Math.max(0, Math.min(asked.ttl(), lastAnswer - now));
        var ask = new Ask<>(asked.requestClass(), ttl, asked.session(), asked.mark(), asked.group(), asked.query());
        String name = audit == null ? null : naming.apply(ask.query());
        var o = new Owed(ask, reply, now, name == null ? id : name);
        owed.put(id, o);
        owing++;
        // A mark told in the same millisecond may lie ahead of this clock: it is a mark all the same.
        double age = Double.isNaN(ask.mark()) ? -1 : Math.max(0.001, now - ask.mark());
        event(() -> module.onRequest(now, new Router.Request(id, ask.requestClass(), ask.ttl(), ask.session(),
                age, ask.group())));
        time.after(ask.ttl() + settings.rules().answerSlack() * LAST, () -> {
            if (!o.over && !o.begun) {
                counters.add("overdue");
                event(() -> module.onGone(now(), id));
                answer(id, o, new FinalAnswer.Failed<>(o.mayHaveRun || o.out != null, "deadline"));
            }
        });
        return id;
    }

    /** The client has left: nothing is owed any more. */
    public void gone(String id) {
        Owed o = owed.get(id);
        if (o != null && !o.over) {
            counters.add("gone");
            event(() -> module.onGone(now(), id));
            conclude(id, o);
            if (o.out != null) {
                callOff(o);
            }
            quiet();
        }
    }

    public int owing() { return owing; }

    public Figures figures() { return figures; }

    /** The listed members that the module keeps work from. */
    public java.util.Set<String> avoided() { return module.avoided(); }

    /** Calls back once nothing is owed: at once, or when the last answer is out. */
    public void whenQuiet(Runnable what) {
        whenQuiet = what;
        quiet();
    }

    /** The process ends: what is still owed gets its answer now. */
    public void giveUp() {
        new ArrayList<>(owed.entrySet()).forEach(e -> {
            Owed o = e.getValue();
            if (!o.over) {
                event(() -> module.onGone(now(), e.getKey()));
                answer(e.getKey(), o, new FinalAnswer.Failed<>(o.mayHaveRun || o.out != null, "this pooler ends"));
                if (o.begun && o.out != null) {
                    callOff(o);
                }
            }
        });
    }

    private void quiet() {
        if (owing == 0) {
            Runnable what = whenQuiet;
            whenQuiet = () -> { };
            what.run();
        }
    }

    private void event(Runnable what) {
        events.add(what);
        if (busy) {
            return;
        }
        busy = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.run();
                } catch (RuntimeException e) {
                    // Guards against one bad event taking the daemon along: the last guard still answers.
                    counters.add("module_errors");
                    LOG.log(Level.SEVERE, "decision failed", e);
                }
            }
        } finally {
            busy = false;
        }
    }

    private double now() { return time.now(); }

    // ---- What the module wants.
    @Override public void send(String request, String member, double timeout) {
        Owed o = owed.get(request);
        if (o == null) {
            return;
        }
        var a = new Attempt(request, o, member);
        double left = Math.min(timeout > 0 ? timeout : Double.MAX_VALUE, o.deadline - now());
        if (o.over || left <= 0 || o.out != null || a.number >= settings.limits().mostTries()) {
            end(a, Status.MOOT, AttemptEnd.Note.NONE);
            return;
        }
        o.out = a;
        counters.add("sent");
        a.call = backends.send(member, o.ask.query(), left, within(o), a);
        if (a.ended) {
            return;
        }
        time.after(left, () -> {
            if (!a.ended && !o.begun) {
                Reach reach = a.call.abandon();
                if (reach.mayHaveRun()) {
                    o.mayHaveRun = true;
                    a.written();
                }
                end(a, reach.mayHaveRun() ? Status.TIMEOUT : Status.MOOT, AttemptEnd.Note.NONE);
            }
        });
    }

    private double within(Owed o) {
        return settings.classes().get(o.ask.requestClass()).freshness() == Router.Freshness.BOUNDED
                ? AGEING_MOST : Double.POSITIVE_INFINITY;
    }

    /**
     * A note whose position lies ahead of the clock that all machines share is noise, whichever wire brought
     * it. Guards against stale reads: believed once, it would pass its member through the gate for good.
     */
    private AttemptEnd.Note plausible(AttemptEnd.Note note) {
        if (Double.isNaN(note.position()) || note.position() > 0 && note.position() < now() + AHEAD_MOST) {
            return note;
        }
        counters.add("notes_implausible");
        return AttemptEnd.Note.NONE;
    }

    /**
     * From its first bytes on an answer belongs to its client: no time-out, no other attempt, no other answer.
     * A read's member has done its work by then, and slow readers must not make it look silent; a write's
     * outcome waits for the note behind its answer.
     */
    private boolean began(Attempt a, A answer, AttemptEnd.Note tell) {
        Owed o = a.owed;
        if (a.ended || o.over) {
            return false;
        }
        a.written();
        o.begun = true;
        counters.add("begun");
        o.reply.began(answer);
        if (tell != null) {
            a.told = true;
            event(() -> module.onOutcome(now(), new Outcome(a.request, a.number, a.member, Status.OK, now() - a.sent,
                    true, tell.role(), tell.position())));
        }
        return true;
    }

    private void ended(Attempt a, AttemptEnd<A> end) {
        if (a.ended) {
            return;
        }
        if (!(end instanceof AttemptEnd.Unsent) && (!(end instanceof AttemptEnd.Broken<A> b) || b.reach().mayHaveRun())) {
            a.written();
        }
        if (a.owed.begun && !a.owed.over && !(end instanceof AttemptEnd.Served)) {
            counters.add("begun_broken");
            answer(a.request, a.owed, new FinalAnswer.Failed<>(true, "the answer broke off"));
        }
        if (end instanceof AttemptEnd.Served<A> s) {
            AttemptEnd.Note note = plausible(s.note());
            if (!a.owed.over) {
                answer(a.request, a.owed, new FinalAnswer.Served<>(s.answer(), note));
            }
            end(a, Status.OK, note);
        } else if (end instanceof AttemptEnd.Missed<A> m) {
            end(a, Status.MISS, plausible(m.note()));
        } else if (end instanceof AttemptEnd.TurnedAway<A> t) {
            end(a, Status.FULL, plausible(t.note()));
        } else if (end instanceof AttemptEnd.Erred<A> e) {
            a.owed.mayHaveRun = true;
            end(a, Status.ERROR, plausible(e.note()));
        } else if (end instanceof AttemptEnd.Unsent) {
            end(a, Status.MOOT, AttemptEnd.Note.NONE);
        } else if (end instanceof AttemptEnd.Broken<A> b) {
            a.owed.mayHaveRun |= b.reach().mayHaveRun();
            LOG.fine(() -> "attempt at " + a.member + " broke, " + b.reach() + ": " + b.why());
            end(a, b.reach().mayHaveRun() ? Status.RESET : Status.CONNECT_FAILED, AttemptEnd.Note.NONE);
        }
    }

    private void end(Attempt a, Status status, AttemptEnd.Note note) {
        a.ended = true;
        if (audit != null && note.role() != Role.UNKNOWN) {
            audit.role(a.member, note.role(), note.position());
        }
        if (a.owed.out == a) {
            a.owed.out = null;
        }
        counters.add("sent_" + status.name().toLowerCase(java.util.Locale.ROOT));
        event(() -> {
            double now = now();
            if (!a.told) {
                module.onOutcome(now, new Outcome(a.request, a.number, a.member, status, now - a.sent, a.owed.over,
                        note.role(), note.position()));
            }
            if (a.owed.over && a.owed.out == null) {
                owed.remove(a.request);
            }
        });
    }

    @Override public void refuse(String request, double retryIn) {
        Owed o = owed.get(request);
        if (o != null && !o.over && !o.begun) {
            answer(request, o, new FinalAnswer.Refused<>(retryIn));
        }
    }

    @Override public void fail(String request) {
        Owed o = owed.get(request);
        if (o != null && !o.over && !o.begun) {
            answer(request, o, new FinalAnswer.Failed<>(o.mayHaveRun || o.out != null, "given up"));
        }
    }

    private void answer(String id, Owed o, FinalAnswer<A> answer) {
        conclude(id, o);
        figures.answered(o.ask.requestClass(), answer);
        if (audit != null) {
            audit.answered(o.name, answer instanceof FinalAnswer.Served<A> ? Audit.Answer.SERVED
                    : answer instanceof FinalAnswer.Refused<A> ? Audit.Answer.REFUSED : Audit.Answer.FAILED, o.ask.requestClass(), now());
        }
        counters.add("answered_" + answer.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT));
        o.reply.answer(answer);
        quiet();
    }

    private void conclude(String id, Owed o) {
        o.over = true;
        owing--;
        // Behind what the module is yet to hear: a send that it asks for meanwhile still gets its outcome.
        event(() -> {
            if (o.out == null) {
                owed.remove(id);
            }
        });
    }

    @Override public void cancel(String request, int number) {
        Owed o = owed.get(request);
        if (o != null && o.out != null && o.out.number == number && !o.begun) {
            callOff(o);
        }
    }

    private void callOff(Owed o) {
        Attempt a = o.out;
        if (a.call != null && a.call.abandon().mayHaveRun()) {
            o.mayHaveRun = true;
            a.written();
        }
        end(a, Status.CANCELLED, AttemptEnd.Note.NONE);
    }

    @Override public void setTimer(double delay, long cookie) {
        time.after(delay, () -> event(() -> module.onTimer(now(), cookie)));
    }

    @Override public void probe(String member) {
        if (probes == null || !probes.takes(this, member)) {
            probeNow(member, (ok, elapsed, role, position) -> probed(member, ok, elapsed, role, position));
        }
    }

    /** From now on others may probe for this core. */
    public void probes(Probes probes) { this.probes = probes; }

    /** A probe's result for the module, whoever made it; {@code elapsed} is how old it is at most (ms). */
    public void probed(String member, boolean ok, double elapsed, Role role, double position) {
        event(() -> module.onProbe(now(), new Router.ProbeResult(member, ok, elapsed, ok ? role : Role.UNKNOWN, position)));
    }

    /** From now on what is sent and answered is kept there; {@code naming} gives a query's own name, or null where it has none. */
    public void audit(Audit audit, java.util.function.Function<Q, String> naming) {
        this.audit = audit;
        this.naming = naming;
    }

    /** Probes at once over this core's connections, and tells what came of it, once. */
    public void probeNow(String member, Probed told) {
        counters.add("probes");
        double sent = now();
        boolean[] over = new boolean[1];
        Call call = backends.probe(member, end -> {
            if (!over[0]) {
                over[0] = true;
                AttemptEnd.Note note = end instanceof AttemptEnd.Served<A> s ? plausible(s.note()) : AttemptEnd.Note.NONE;
                told.tell(end instanceof AttemptEnd.Served<A>, now() - sent, note.role(), note.position());
            }
        });
        time.after(settings.limits().dialTimeout(), () -> {
            if (!over[0]) {
                over[0] = true;
                call.abandon();
                told.tell(false, now() - sent, Role.UNKNOWN, Double.NaN);
            }
        });
    }

    /** From now on the module's messages go this way. */
    public void peers(Peers peers) { this.peers = peers; }

    @Override public void tell(byte[] message) { peers.tell(message); }

    /** A message from another pooler, as it came. */
    public void heard(byte[] message) { event(() -> module.onPeer(now(), message)); }

    /** The module's counts since the start. */
    public Map<String, Long> counts() { return module.counts(); }

    @Override public void watch(boolean on) { discovery.watch(on); }

    @Override public void log(String text) { LOG.info(text); }
}
