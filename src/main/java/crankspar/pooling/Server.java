package crankspar.pooling;

import crankspar.Router.Role;
import crankspar.core.AttemptEnd.Note;
import crankspar.core.AttemptEnd;
import crankspar.core.Ports;
import crankspar.core.Reach;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.SocketConnection;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;

/**
 * One connection to a server, in one state at a time. It serves one client's transaction after another; what a client
 * leaves behind is rolled back and cleaned, or the connection is closed, before anybody else has it. Its end is told
 * exactly once.
 */
final class Server implements ConnectionHandler, Ports.Call, Keeping.Idle {
    /** Where a connection can be, by the names of SHOW servers. */
    enum State {
        /** Dialled, and not welcomed yet. */
        LOGIN,
        /** Free for anybody. */
        IDLE,
        /** Brought to a client's state, before its transaction. */
        CARRYING,
        /** A client has it. */
        ACTIVE,
        /** Cleaned, or kept apart until a cancel has passed. */
        TESTED,
        CLOSED
    }

    /** Who keeps it. */
    interface Keeper {
        void up(Server server);
        /** Anybody may have it. */
        void free(Server server);
        void gone(Server server);
        double now();
        Setup.Limits limits();
        Set<Pins.Kind> refused();
        void count(String name, long n);
    }

    /** An answer up to this is held until it is whole; of a longer one the client gets what has come. */
    private static final int HELD_MOST = 64 * 1024;
    private static final Set<String> MISSED = Set.of("25006", "72000");
    private static final Set<String> TURNED_AWAY = Set.of("53300", "57P03");
    private static final Sql.Statement DISCARD = Sql.split("DISCARD ALL").get(0);
    private static final Sql.Statement ROLLBACK = Sql.split("ROLLBACK").get(0);

    /** Whose connections these are: the database as clients name it, as servers do, and the user. */
    record Key(String pool, String database, String user) { }

    private final Keeper keeper;
    private final Key key;
    private final String member;
    private final double openedAt;
    private final double luck;
    private final ServerState there = new ServerState();
    private final FrameDecoder decoder = new FrameDecoder(false);
    private final Flow fromClient;
    private SocketConnection stream;
    private Connection out;
    private State state = State.LOGIN;
    private Opening opening;
    private Ports.Hearer<Answer> hearer;
    private Exchange exchange;
    private Progress progress;
    private List<Frame> answer;
    private int answerBytes;
    private Frame carryError;
    private boolean kept, redone, closing, doubted;
    private int cancelling, cleaning;
    private int process, secret;
    private double since, within, quietSince;
    private final ServerNotes notes = new ServerNotes();

    Server(Keeper keeper, Key key, String member, double luck) {
        this.keeper = keeper;
        this.key = key;
        this.member = member;
        this.luck = luck;
        openedAt = since = keeper.now();
        fromClient = new Flow(reading -> {
            if (opening != null) {
                opening.client.serverTakes(reading);
            }
        });
    }

    Key key() { return key; }
    String member() { return member; }
    State state() { return state; }
    ServerState there() { return there; }
    Opening opening() { return opening; }
    /** Whether its client has it until the transaction's end. */
    boolean kept() { return kept; }
    char status() { return exchange == null ? 'I' : exchange.status(); }
    int process() { return process; }
    int secret() { return secret; }
    double since() { return since; }
    /** Since when its client owes the next message of an open transaction, or infinity. */
    double quietSince() { return kept && exchange.quiet() && exchange.inTransaction() ? quietSince : Double.POSITIVE_INFINITY; }
    /** Whether its client's transaction is open, in a block or in a batch without its Sync. */
    boolean inTransaction() { return exchange != null && exchange.inTransaction(); }
    /** Whether its client's next messages must wait. */
    boolean pausing() { return exchange == null || exchange.pausing(); }
    /** Whether the server is read: not while what it gives has nowhere to go. */
    void reading(boolean on) { out.reading(on); }
    /** Whether it is between two transactions of the client that keeps it. */
    boolean between() { return kept && exchange.settled(); }
    @Override public double openedAt() { return openedAt; }
    @Override public double idleSince() { return since; }
    @Override public double luck() { return luck; }

    private void to(State next) {
        state = next;
        since = keeper.now();
    }

    @Override public void opened(Connection out) {
        this.out = out;
        var parameters = new LinkedHashMap<String, String>();
        parameters.put("user", key.user());
        parameters.put("database", key.database());
        out.write(Frame.startup(3 << 16, parameters));
    }

    // ---- A client's transaction.
    /** It has this one now; it begins as soon as the connection is welcomed and in the client's state. */
    void serve(Opening opening, double within, Ports.Hearer<Answer> hearer) {
        this.opening = opening;
        this.hearer = hearer;
        this.within = keeper.now() + within;
        opening.server = this;
        kept = redone = false;
        answer = new ArrayList<>(4);
        answerBytes = 0;
        if (state == State.IDLE) {
            carry();
        }
    }

    private void carry() {
        progress = new Progress();
        exchange = new Exchange(opening.client.session(), there, progress, keeper.limits(), keeper.refused());
        String sql = opening.empty() ? null : Carry.settings(there, opening.client.session());
        if (sql == null) {
            start();
        } else {
            to(State.CARRYING);
            carryError = null;
            keeper.count("pooling_carries", 1);
            out.write(Frame.query(sql).wire());
        }
    }

    private void start() {
        to(State.ACTIVE);
        if (opening.empty()) {
            finish(new AttemptEnd.Served<>(new Answer(List.of(), this), note()));
            return;
        }
        Opening mine = opening;
        boolean wanted = hearer.wanted();     // the last check before a write; it may end this very attempt
        if (opening != mine || state != State.ACTIVE) {
            return;
        }
        if (!wanted || keeper.now() > within) { // a bounded read's data has aged meanwhile: it is not sent from here
            finish(wanted ? new AttemptEnd.Broken<>(Reach.NOT_CONNECTED, "the connection was ready too late")
                    : new AttemptEnd.Unsent<>("nobody waits for it any more"));
            return;
        }
        tellParameters();
        forward(opening.frames);
        if (state == State.ACTIVE && !kept && !opening.whole) {
            keep(Note.NONE);
        }
    }

    /** What this server reports and the client has not heard, or heard otherwise from another. */
    private void tellParameters() {
        SessionState client = opening.client.session();
        if (client.told() == there.reported()) {
            return;
        }
        there.reported().forEach((name, value) -> {
            if (!ServerNotes.NAMES.contains(name) && !value.equals(client.told().get(name))) {
                hold(Frame.parameter(name, value));
            }
        });
        client.told(there.reported());
    }

    private void hold(Frame f) {
        answer.add(f);
        answerBytes += f.size();
    }

    /** The client's next messages, while it has this connection. */
    void fromClient(List<Frame> frames) { forward(frames); }

    private void forward(List<Frame> frames) {
        var bytes = new ArrayList<Frame>(frames.size() + 2);
        var local = new ArrayList<Frame>();
        boolean ends = false;
        quietSince = keeper.now();
        long prepares = exchange.prepares();
        long executions = exchange.executions();
        try {
            for (Frame f : frames) {
                Exchange.Moves moves = exchange.fromClient(f);
                bytes.addAll(moves.toServer());
                local.addAll(moves.toClient());
                ends |= f.endsBatch();
            }
        } catch (Frame.Malformed e) {
            opening.client.fatal("08P01", e.getMessage());
            return;
        }
        keeper.count("pooling_prepares", exchange.prepares() - prepares);
        keeper.count("pooling_executions", exchange.executions() - executions);
        if (!bytes.isEmpty()) {
            byte[] wire = Frame.join(bytes);
            boolean running = ends;
            Progress mine = progress;
            Ports.Hearer<Answer> told = kept ? null : hearer;
            fromClient.queued(wire.length);
            out.write(wire, wire.length, () -> {
                fromClient.left(wire.length);
                if (running) {
                    mine.sent();
                }
                if (told != null) {
                    told.written();
                }
            });
        }
        deliver(local);
        if (bytes.isEmpty() && state == State.ACTIVE && exchange.settled() && !exchange.pausing() && (ends || !opening.whole)) {
            ready();                          // nothing of it was for the server
        }
        showErrorBeforeSync();
    }

    /** After an error nothing more comes from the server until its client, who has to hear of it first, sends a Sync. */
    private void showErrorBeforeSync() {
        if (state == State.ACTIVE && !kept && exchange.awaitsSync()) {
            keep(Note.NONE);
        }
    }

    private void deliver(List<Frame> frames) {
        if (frames.isEmpty()) {
            return;
        }
        if (kept) {
            opening.client.fromServer(frames);
            return;
        }
        frames.forEach(this::hold);
        if (answerBytes > HELD_MOST || exchange.copying()) {
            keep(Note.NONE);
        }
    }

    /** From here on it is its client's: what has come is shown, and nothing is sent elsewhere. */
    private void keep(Note note) {
        kept = true;
        progress.shown();
        quietSince = keeper.now();
        List<Frame> shown = answer;
        answer = new ArrayList<>(0);
        if (!hearer.held(new Answer(shown, this), note) && state == State.ACTIVE) {
            lose("nobody waits for it any more");
        }
    }

    // ---- From the server.
    @Override public void received(ByteBuffer in) {
        decoder.feed(in);
        try {
            for (Frame f = decoder.next(); f != null && state != State.CLOSED; f = decoder.next()) {
                on(f);
            }
        } catch (Frame.Malformed e) {
            keeper.count("pooling_server_malformed", 1);
            lose("malformed: " + e.getMessage());
        }
    }

    private void on(Frame f) throws Frame.Malformed {
        if (f.type() == 'S') {
            note(f);
        }
        switch (state) {
            case LOGIN -> login(f);
            case IDLE -> idle(f);
            case CARRYING -> carrying(f);
            case ACTIVE -> {
                quietSince = keeper.now();
                deliver(exchange.fromServer(f).toClient());
                showErrorBeforeSync();
                if (f.type() == 'Z' && state == State.ACTIVE) {
                    ready();
                }
            }
            case TESTED -> tested(f);
            case CLOSED -> { }
        }
    }

    private void note(Frame f) throws Frame.Malformed {
        Frame.Reader r = f.read();
        String name = r.text();
        String value = r.text();
        notes.read(name, value);
        if (state != State.ACTIVE && !ServerNotes.NAMES.contains(name)) {
            there.report(name, value);
        }
    }

    private void login(Frame f) throws Frame.Malformed {
        switch (f.type()) {
            case 'R' -> {
                if (f.read().int32() != 0) {
                    said(Frame.error("FATAL", "28000", "the server asks for a password, which is not carried yet", null));
                    lose("a password is asked for");
                }
            }
            case 'K' -> {
                Frame.Reader r = f.read();
                process = r.int32();
                secret = r.int32();
            }
            case 'S', 'N', 'v' -> { }
            case 'E' -> {
                said(f);
                lose("not welcome: " + f.fields().get('C') + " " + f.fields().get('M'));
            }
            case 'Z' -> {
                to(State.IDLE);
                keeper.up(this);
                if (opening != null) {
                    carry();
                } else {
                    release(Release.Condition.clean(unwanted(), cancelling));
                }
            }
            default -> throw new Frame.Malformed("message type " + f.type() + " before the welcome");
        }
    }

    private void said(Frame f) {
        if (opening != null) {
            opening.said = f;
        }
    }

    private void idle(Frame f) throws Frame.Malformed {
        switch (f.type()) {
            case 'S', 'N', 'A' -> { }
            case 'E' -> lose("ended by the server: " + f.fields().get('M'));
            default -> throw new Frame.Malformed("message type " + f.type() + " that nothing asked for");
        }
    }

    private void carrying(Frame f) throws Frame.Malformed {
        if (f.type() == 'E') {
            carryError = f;
        } else if (f.type() == 'Z') {
            if (carryError == null) {
                SessionState client = opening.client.session();
                there.carried(client.options(), client.sqlPrepared());
                start();
            } else {                          // its client hears why, as though it had said so itself
                to(State.ACTIVE);
                keeper.count("pooling_carries_failed", 1);
                finish(new AttemptEnd.Served<>(new Answer(List.of(carryError, Frame.ready('I')), this), note()));
            }
        }
    }

    /** The server is ready: a batch has ended, and perhaps the transaction. */
    private void ready() {
        boolean over = exchange.status() == 'I';
        SessionState client = opening.client.session();
        if (over && progress.writes()) {
            client.committedAt(Double.isNaN(notes.position()) ? keeper.now() : notes.position());
        }
        if (!kept && over && again()) {
            return;
        }
        AttemptEnd<Answer> instead = kept ? null : insteadOfAnswer();
        if (instead != null) {
            exchange.rewind();
            finish(instead);
            return;
        }
        boolean mine = opening.mode == Setup.Mode.SESSION || !client.pins().none();
        if (over && exchange.settled() && !mine) {
            finish(new AttemptEnd.Served<>(new Answer(answer, this), note()));
            return;
        }
        exchange.batch();
        quietSince = keeper.now();
        if (over) {
            progress = exchange.next();
        }
        if (!kept) {
            keep(note());
        }
        if (state == State.ACTIVE && over && closing) {
            opening.client.fatal("57P01", "the server of this session drains");
        } else if (state == State.ACTIVE) {
            opening.client.goOn();
        }
    }

    /** A statement that the server had lost is prepared once more, and the batch begun again: nothing of it ran. */
    private boolean again() {
        if (redone || !opening.whole || !exchange.again()) {
            return false;
        }
        redone = true;
        keeper.count("pooling_statements_lost", 1);
        exchange.rewind();
        answer.clear();
        answerBytes = 0;
        exchange.batch();
        forward(opening.frames);
        return true;
    }

    /** Where the server turned the batch away untouched, the module hears that, and not the client. */
    private AttemptEnd<Answer> insteadOfAnswer() {
        String error = exchange.error();
        if (opening.onlyBegin && opening.way.write() && notes.role() == Role.REPLICA && exchange.status() == 'T') {
            return new AttemptEnd.Missed<>(note());
        }
        if (error == null || exchange.executed() || exchange.status() != 'I') {
            return null;
        }
        if (MISSED.contains(error) || TURNED_AWAY.contains(error) || error.equals("XX000") && !opening.way.write()) {
            opening.said = answer.stream().filter(f -> f.type() == 'E').findFirst().orElse(null);
            return MISSED.contains(error) ? new AttemptEnd.Missed<>(note())
                    : TURNED_AWAY.contains(error) ? new AttemptEnd.TurnedAway<>(note()) : new AttemptEnd.Erred<>(note(), error);
        }
        return null;
    }

    private Note note() { return new Note(notes.role(), notes.position()); }

    /** The transaction is over, and the connection may go to another client. */
    private void finish(AttemptEnd<Answer> how) {
        Ports.Hearer<Answer> told = hearer;
        Release.Condition condition = condition(false);
        detach();
        release(condition);
        told.ended(how);
    }

    private void detach() {
        opening = null;
        hearer = null;
        exchange = null;
        progress = null;
        answer = null;
        kept = false;
        out.reading(true);                    // a slow client's answer is in its own queue by now
    }

    private boolean unwanted() { return closing || doubted; }

    /** How its client leaves it; {@code sessionState} where more is left than a transaction leaves. */
    private Release.Condition condition(boolean sessionState) {
        boolean libraryLoaded = opening.client.session().pins().kinds().contains(Pins.Kind.LOAD);
        return new Release.Condition(!exchange.quiet(), exchange.serverBatchOpen(), exchange.status(), sessionState, libraryLoaded,
                unwanted(), cancelling);
    }

    /** The only way to become free; also called once it has been cleaned. */
    private void release(Release.Condition condition) {
        switch (Release.of(condition)) {
            case CLOSE -> lose("not fit for another client: " + condition);
            case RESET_SESSION -> clean(true);
            case ROLL_BACK -> clean(false);
            case AWAIT_CANCEL -> {
                to(State.TESTED);
                cleaning = 0;
            }
            case REUSE -> {
                to(State.IDLE);
                keeper.free(this);
            }
        }
    }

    /** Rolls back what a client left open and, where it kept more than a transaction, all of its session. */
    private void clean(boolean all) {
        to(State.TESTED);
        keeper.count("pooling_cleaned", 1);
        cleaning = all ? 2 : 1;
        out.write(Frame.query("ROLLBACK").wire());
        there.done(ROLLBACK, "ROLLBACK");
        if (all) {
            out.write(Frame.query("DISCARD ALL").wire());
            there.done(DISCARD, "DISCARD ALL");
        }
    }

    private void tested(Frame f) throws Frame.Malformed {
        if (f.type() == 'Z') {
            char at = f.read().code();
            if (cleaning > 0 && --cleaning == 0) {
                if (at == 'I') {
                    release(Release.Condition.clean(unwanted(), cancelling));
                } else {
                    lose("it does not come clean");
                }
            }
        } else if (f.type() == 'E' && !"57014".equals(f.fields().get('C'))) {
            lose("not clean: " + f.fields().get('M'));
        }
    }

    // ---- Cancels.
    /** A cancel for its present client is on its way. */
    void cancelSent() { cancelling++; }

    /** That cancel has passed; {@code sure} where the server itself ended its connection. */
    void cancelPassed(boolean sure) {
        cancelling--;
        doubted |= !sure;
        if (state == State.TESTED && cancelling == 0 && cleaning == 0) {
            if (doubted) {
                lose("a cancel may still come");
            } else {
                cleaning = 1;                 // an empty query takes what of it is still to come
                out.write(Frame.query("").wire());
            }
        }
    }

    // ---- Ends.
    /** It takes no further transaction: idle ones close now, others at the end of what they have. */
    void retire() {
        closing = true;
        if (state == State.IDLE || state == State.LOGIN || state == State.CARRYING || state == State.TESTED) {
            lose("its member drains or has left");
        } else if (state == State.ACTIVE && between()) {
            opening.client.fatal("57P01", "the server of this session drains");
        }
    }

    /** How far its attempt had come. */
    private Reach reach() {
        if (progress == null) {
            return Reach.NOT_CONNECTED;
        }
        return switch (state) {
            case LOGIN, IDLE, CLOSED -> Reach.NOT_CONNECTED;
            case CARRYING, TESTED -> Reach.PARTLY_WRITTEN;
            case ACTIVE -> progress.verdict() == Progress.Verdict.ELSEWHERE && !progress.executed()
                    ? Reach.PARTLY_WRITTEN : Reach.WHOLLY_WRITTEN;
        };
    }

    /** The core gives it up, or the client has gone: what is quiet is cleaned, all else is closed. */
    @Override public Reach abandon() {
        Reach reach = reach();
        if (state == State.CLOSED || opening == null) {
            return reach;
        }
        opening.verdict = progress == null ? Progress.Verdict.ELSEWHERE : progress.verdict();
        hearer = null;
        if (state == State.ACTIVE && kept) {
            Release.Condition condition = condition(opening.mode == Setup.Mode.SESSION || !opening.client.session().pins().none());
            if (Release.of(condition) != Release.CLOSE) {
                detach();
                release(condition);
                return reach;
            }
        }
        lose("given up");
        return reach;
    }

    void lose(String why) {
        if (state == State.CLOSED) {
            return;
        }
        Reach reach = reach();
        Opening had = opening;
        Ports.Hearer<Answer> told = hearer;
        if (had != null) {
            had.verdict = state == State.ACTIVE && progress != null ? progress.verdict() : Progress.Verdict.ELSEWHERE;
            if (exchange != null) {
                exchange.rewind();
            }
            if (state == State.ACTIVE) {
                had.client.session().lost();
            }
        }
        opening = null;
        hearer = null;
        to(State.CLOSED);
        if (stream != null) {
            stream.close();
        }
        keeper.gone(this);
        if (told != null) {
            told.ended(new AttemptEnd.Broken<>(reach, why));
        }
    }

    /** Its driver, from the moment it is dialled. */
    void stream(SocketConnection stream) { this.stream = stream; }

    @Override public void ended(String why) { lose(why); }
}
