package crankspar.pooling;

import crankspar.core.FinalAnswer;
import crankspar.core.Ports;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A client's connection. It collects what opens a transaction, asks for it as one request, and passes on what follows
 * while it has a server's connection. Each command gets one answer, in order, or the connection ends cleanly.
 */
final class Client implements ConnectionHandler, Ports.Reply<Answer> {
    private static final int HELD_MOST = 64 * 1024;

    private final ClientDesk desk;
    private final FrameDecoder decoder = new FrameDecoder(true);
    private final int process;
    private final int secret;
    private final double connectedAt;
    private Connection out;
    private ClientState state = ClientState.LOGIN;
    private double since, arrived, askedAt;
    private ServerKey key;
    private String databaseName;
    private String user;
    private SessionState session;
    private final Login login;
    /** What waits for its turn; its bytes count against all clients' bound. */
    private final HeldFrames held = new HeldFrames();
    private int counted;
    private final BatchCollector collector;
    private boolean pumping, serverTakes = true, reading = true;
    /** Null but for a client of the console. */
    private ConsoleSession console;
    private Opening opening;
    private Lease lease;
    private Flow toClient;
    long ticket;
    /** The core's name of its request, once it has one. */
    String request;
    private long transactions;

    Client(ClientDesk desk, int process, int secret) {
        this.desk = desk;
        this.process = process;
        this.secret = secret;
        connectedAt = since = desk.now();
        login = new Login(this, desk);
        collector = new BatchCollector(this, desk);
    }

    int process() { return process; }
    int secret() { return secret; }
    ClientState state() { return state; }
    double since() { return since; }
    double connectedAt() { return connectedAt; }
    ServerKey key() { return key; }
    String user() { return user; }
    String databaseName() { return databaseName; }
    SessionState session() { return session; }
    Opening opening() { return opening; }
    Lease lease() { return lease; }
    long transactions() { return transactions; }
    /** The earliest time at which its opening may have come, or at which it came to its turn (ms). */
    double askedAt() { return askedAt; }

    /** Its database as set up now; one that is no longer set up has no places. */
    Setup.Database database() { return desk.database(databaseName); }

    private void to(ClientState next) {
        state = next;
        since = desk.now();
    }

    @Override public void opened(Connection out) { this.out = out; }

    // ---- From the client.
    @Override public void received(ByteBuffer in) {
        if (state == ClientState.LEAVING) {
            in.position(in.limit());
            return;
        }
        arrived = held.isEmpty() ? Math.min(desk.now(), out.earliestArrival()) : arrived;
        decoder.feed(in);
        try {
            for (Frame f = decoder.next(); f != null && state != ClientState.LEAVING; f = decoder.next()) {
                if (f.type() < ' ' && f.type() != Frame.PART) {
                    login.take(f);
                } else {
                    held.add(f);
                }
            }
        } catch (Frame.Malformed e) {
            desk.count("pooling_client_malformed");
            fatal("08P01", e.getMessage());
            return;
        }
        if (state != ClientState.LEAVING) {
            account();
            gate();
            desk.later(this::goOn);
        }
    }

    // ---- Its start.
    void refuseEncryption() { out.write(new byte[] {'N'}); }

    void named(String user, String databaseName) {
        this.user = user;
        this.databaseName = databaseName;
    }

    void session(SessionState session, ServerKey key) {
        this.session = session;
        this.key = key;
    }

    void console(ConsoleSession console) {
        this.console = console;
        session = SessionState.of(Map.of());
    }

    void welcomed(List<Frame> frames) {
        to(ClientState.IDLE);
        write(frames);
    }

    /** Takes what has come, in order, as far as it may go on now. */
    private void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            while (!held.isEmpty() && state != ClientState.LEAVING && may()) {
                Frame f = held.poll();
                if (lease != null && f.type() != 'X') {
                    lease.forward(held.pollBatch(f));
                } else {
                    on(f);
                }
                held.passed();
            }
        } catch (Frame.Malformed e) {
            desk.count("pooling_client_malformed");
            fatal("08P01", e.getMessage());
        } finally {
            pumping = false;
        }
        if (state != ClientState.LEAVING) {
            account();
            gate();
        }
        if (desk.draining()) {
            closeIfIdle();
        }
    }

    private boolean may() {
        return lease != null ? !lease.pausing() && serverTakes : state == ClientState.IDLE && opening == null;
    }

    private void account() {
        int now = held.bytes() + collector.bytes() + decoder.bufferedBytes();
        int more = now - counted;
        counted = now;
        if (more != 0 && !desk.hold(more)) {
            fatal("53200", "no room for long messages now");
        }
    }

    /** What has nowhere to go is not read; a whole message always fits. */
    private void gate() {
        boolean wanted = held.bytes() <= HELD_MOST && serverTakes;
        if (wanted != reading) {
            reading = wanted;
            out.reading(wanted);
        }
    }

    /** Its server takes more, or not now. */
    void serverTakes(boolean on) {
        serverTakes = on;
        if (state != ClientState.LEAVING) {
            if (on) {
                pump();
            }
            gate();
        }
    }

    /** Its server is ready for what comes next, or something has come. */
    void goOn() {
        if (clientConnected()) {
            pump();
        }
    }

    @Override public void accepted(String request) { this.request = request; }

    @Override public boolean clientConnected() {
        out.readNow();
        return state != ClientState.LEAVING;
    }

    private void on(Frame f) throws Frame.Malformed {
        if (f.type() == 'X') {
            leaveAndClose();
        } else if (console != null) {
            write(console.answer(f));
        } else {
            collector.take(f);
        }
    }

    /** Whether a cancel came for what is opened now; it counts once. */
    boolean takeCancel() { return held.takeCancel(); }

    void ask(Opening opening) {
        this.opening = opening;
        askedAt = Math.max(arrived, since);
        if (state != ClientState.LOGIN) {
            to(ClientState.WAITING);
        }
        desk.ask(this, opening);
    }

    /** It has its place, and the module has its request. */
    void placed() {
        if (state == ClientState.WAITING) {
            to(ClientState.ACTIVE);
        }
    }

    /** An error between transactions: the rest of a batch that is not whole is passed over up to its Sync. */
    void reject(String code, String message, boolean whole) { reject(Frame.error("ERROR", code, message, null), whole); }

    private void reject(Frame error, boolean whole) {
        collector.skip(!whole);
        write(whole ? List.of(error, Frame.ready('I')) : List.of(error));
    }

    // ---- The answer.
    /** No place came free. */
    void refused(String why) { answer(new FinalAnswer.Refused<>(0), why); }

    @Override public void answerBegan(Answer answer) {
        if (state == ClientState.LOGIN) {
            return;
        }
        lease = answer.lease();
        toClient = new Flow(on -> {
            if (lease != null) {
                lease.readServer(on);
            }
        });
        fromServer(answer.frames());
    }

    /** What its server gives goes on as it comes. */
    void fromServer(List<Frame> frames) {
        if (state == ClientState.LEAVING || frames.isEmpty()) {
            return;
        }
        byte[] bytes = Frame.join(frames);
        Flow flow = toClient;
        flow.queued(bytes.length);
        out.write(bytes, bytes.length, () -> flow.left(bytes.length));
    }

    @Override public void answer(FinalAnswer<Answer> answer) { answer(answer, "refused: trying again is harmless"); }

    private void answer(FinalAnswer<Answer> answer, String refusal) {
        Opening had = opening;
        boolean partly = lease != null;
        opening = null;
        lease = null;
        request = null;
        serverTakes = true;
        desk.over(this);
        if (state == ClientState.LEAVING || had == null) {
            return;
        }
        if (state == ClientState.LOGIN) {
            login.learned(answer, had, refusal);
            pump();
            return;
        }
        to(ClientState.IDLE);
        if (answer instanceof FinalAnswer.Served<Answer> s) {
            transactions++;
            collector.skip(!partly && !had.whole); // it could not begin, and its Sync is still to come
            write(s.answer().frames());
        } else if (partly) { // no error but the last one tells its client that what follows is another transaction
            desk.count(had.verdict == Progress.Verdict.UNKNOWN ? "pooling_unknown" : "pooling_broken");
            end(LostConnection.error("FATAL", had.verdict, "in the midst of a transaction"));
            return;
        } else if (answer instanceof FinalAnswer.Refused<Answer> r) {
            desk.count("pooling_refused");
            reject(had.refusal(r.retryIn(), refusal), had.whole);
        } else if (answer instanceof FinalAnswer.Failed<Answer> f) {
            desk.count("pooling_failed");
            reject(had.failure(f.mayHaveRun(), f.why()), had.whole);
        }
        pump();
    }

    void write(List<Frame> frames) {
        if (!frames.isEmpty()) {
            out.write(Frame.join(frames));
        }
    }

    // ---- Cancel, and ends.
    /**
     * A request to stop what it waits for. It came on another connection, which may be read ahead of this one: what its
     * client had sent before is read first.
     */
    void cancelled() {
        if (!clientConnected() || state == ClientState.LOGIN) {
            return;
        }
        if (lease != null) {
            pump(); // the cancel follows it to the server
        }
        if (opening == null) {
            held.cancelled();
            return;
        }
        Server server = opening.server;
        if (server != null && server.opening() == opening) {
            desk.cancel(server);
            return;
        }
        boolean whole = opening.whole;        // it only waits: that ends here
        opening = null;
        desk.gone(this);
        request = null;
        to(ClientState.IDLE);
        reject("57014", "canceled while it waited", whole);
        pump();
    }

    /** Tells the client why, and ends its connection. */
    void fatal(String code, String message) { end(Frame.error("FATAL", code, message, null)); }

    void end(Frame error) {
        if (state == ClientState.LEAVING) {
            return;
        }
        if (out != null) {
            out.write(error.wire());
            out.finish();
        }
        leave();
    }

    /** Between two transactions, with nothing half read. */
    boolean idle() {
        return state == ClientState.IDLE && held.isEmpty() && collector.isEmpty() && decoder.atMessageBoundary() || lease != null && lease.between()
                && held.isEmpty() && decoder.atMessageBoundary();
    }

    void closeIfIdle() {
        if (idle()) {
            fatal("57P01", "this pooler ends or drains");
        }
    }

    @Override public void ended(String why) { leave(); }

    @Override public void closed() {
        leave();
        desk.closed(this);
    }

    void leaveAndClose() {
        leave();
        out.close();
    }

    private void leave() {
        if (state == ClientState.LEAVING) {
            return;
        }
        to(ClientState.LEAVING);
        held.clear();
        collector.clear();
        desk.hold(-counted);
        counted = 0;
        lease = null;
        opening = null;
        desk.gone(this);
    }
}
