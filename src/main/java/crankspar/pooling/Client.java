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
    private static final int MAX_HELD_BYTES = 64 * 1024;

    private final ClientContext context;
    private final FrameDecoder decoder = new FrameDecoder(true);
    private final int process;
    private final int secret;
    private final double connectedAt;
    private Connection connection;
    private ClientState state = ClientState.LOGIN;
    private double stateSince, arrivedAt, requestedAt;
    private ServerKey key;
    private String databaseName;
    private String user;
    private SessionState session;
    private final Login login;
    /** What waits for its turn; its bytes count against all clients' bound. */
    private final FrameQueue held = new FrameQueue();
    private int accountedBytes;
    private final BatchCollector collector;
    private boolean processing, serverWritable = true, reading = true;
    /** Null but for a client of the console. */
    private ConsoleSession console;
    private OpeningBatch opening;
    private Lease lease;
    private Backpressure toClient;
    long ticket;
    /** The core's name of its request, once it has one. */
    String request;
    private long transactions;

    Client(ClientContext desk, int process, int secret) {
        this.context = desk;
        this.process = process;
        this.secret = secret;
        connectedAt = stateSince = desk.now();
        login = new Login(this, desk);
        collector = new BatchCollector(this, desk);
    }

    int process() { return process; }
    int secret() { return secret; }
    ClientState state() { return state; }
    double stateSince() { return stateSince; }
    double connectedAt() { return connectedAt; }
    ServerKey key() { return key; }
    String user() { return user; }
    String databaseName() { return databaseName; }
    SessionState session() { return session; }
    OpeningBatch opening() { return opening; }
    Lease lease() { return lease; }
    long transactions() { return transactions; }
    /** The earliest time at which its opening may have come, or at which it came to its turn (ms). */
    double requestedAt() { return requestedAt; }

    /** Its database as set up now; one that is no longer set up has no places. */
    Setup.Database database() { return context.database(databaseName); }

    private void enter(ClientState next) {
        state = next;
        stateSince = context.now();
    }

    @Override public void opened(Connection out) { this.connection = out; }

    // ---- From the client.
    @Override public void received(ByteBuffer in) {
        if (state == ClientState.LEAVING) {
            in.position(in.limit());
            return;
        }
        arrivedAt = held.isEmpty() ? Math.min(context.now(), connection.earliestArrival()) : arrivedAt;
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
            context.count("pooling_client_malformed");
            fatal("08P01", e.getMessage());
            return;
        }
        if (state != ClientState.LEAVING) {
            accountBytes();
            updateReading();
            context.runLater(this::resume);
        }
    }

    // ---- Its start.
    void refuseEncryption() { connection.write(new byte[] {'N'}); }

    void identified(String user, String databaseName) {
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

    void loggedIn(List<Frame> frames) {
        enter(ClientState.IDLE);
        write(frames);
    }

    /** Takes what has come, in order, as far as it may go on now. */
    private void processHeld() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            while (!held.isEmpty() && state != ClientState.LEAVING && canProceed()) {
                Frame f = held.poll();
                if (lease != null && f.type() != 'X') {
                    lease.forward(held.pollBatch(f));
                } else {
                    handle(f);
                }
                held.frameProcessed();
            }
        } catch (Frame.Malformed e) {
            context.count("pooling_client_malformed");
            fatal("08P01", e.getMessage());
        } finally {
            processing = false;
        }
        if (state != ClientState.LEAVING) {
            accountBytes();
            updateReading();
        }
        if (context.draining()) {
            closeIfIdle();
        }
    }

    private boolean canProceed() {
        return lease != null ? !lease.awaitingReady() && serverWritable : state == ClientState.IDLE && opening == null;
    }

    private void accountBytes() {
        int current = held.bytes() + collector.bytes() + decoder.bufferedBytes();
        int change = current - accountedBytes;
        accountedBytes = current;
        if (change != 0 && !context.reserveBytes(change)) {
            fatal("53200", "no room for long messages now");
        }
    }

    /** What has nowhere to go is not read; a whole message always fits. */
    private void updateReading() {
        boolean wanted = held.bytes() <= MAX_HELD_BYTES && serverWritable;
        if (wanted != reading) {
            reading = wanted;
            connection.reading(wanted);
        }
    }

    /** Its server takes more, or not now. */
    void serverWritable(boolean on) {
        serverWritable = on;
        if (state != ClientState.LEAVING) {
            if (on) {
                processHeld();
            }
            updateReading();
        }
    }

    /** Its server is ready for what comes next, or something has come. */
    void resume() {
        if (clientConnected()) {
            processHeld();
        }
    }

    @Override public void accepted(String request) { this.request = request; }

    @Override public boolean clientConnected() {
        connection.readNow();
        return state != ClientState.LEAVING;
    }

    private void handle(Frame f) throws Frame.Malformed {
        if (f.type() == 'X') {
            disconnect();
        } else if (console != null) {
            write(console.answer(f));
        } else {
            collector.take(f);
        }
    }

    /** Whether a cancel came for what is opened now; it counts once. */
    boolean takeCancel() { return held.takeCancel(); }

    void submit(OpeningBatch opening) {
        this.opening = opening;
        requestedAt = Math.max(arrivedAt, stateSince);
        if (state != ClientState.LOGIN) {
            enter(ClientState.WAITING);
        }
        context.submit(this, opening);
    }

    /** It has its place, and the module has its request. */
    void placeAssigned() {
        if (state == ClientState.WAITING) {
            enter(ClientState.ACTIVE);
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
    void placeRefused(String why) { answer(new FinalAnswer.Refused<>(0), why); }

    @Override public void answerBegan(Answer answer) {
        if (state == ClientState.LOGIN) {
            return;
        }
        lease = answer.lease();
        toClient = new Backpressure(on -> {
            if (lease != null) {
                lease.setServerReading(on);
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
        Backpressure flow = toClient;
        flow.bytesQueued(bytes.length);
        connection.write(bytes, bytes.length, () -> flow.bytesWritten(bytes.length));
    }

    @Override public void answer(FinalAnswer<Answer> answer) { answer(answer, "refused: trying again is harmless"); }

    private void answer(FinalAnswer<Answer> answer, String refusal) {
        OpeningBatch answered = opening;
        boolean begun = lease != null;
        opening = null;
        lease = null;
        request = null;
        serverWritable = true;
        context.requestEnded(this);
        if (state == ClientState.LEAVING || answered == null) {
            return;
        }
        if (state == ClientState.LOGIN) {
            login.serverParametersLearned(answer, answered, refusal);
            processHeld();
            return;
        }
        enter(ClientState.IDLE);
        if (answer instanceof FinalAnswer.Served<Answer> s) {
            transactions++;
            collector.skip(!begun && !answered.whole); // it could not begin, and its Sync is still to come
            write(s.answer().frames());
        } else if (begun) { // no error but the last one tells its client that what follows is another transaction
            context.count(answered.outcome == Progress.Outcome.UNKNOWN ? "pooling_unknown" : "pooling_broken");
            end(LostConnection.error("FATAL", answered.outcome, "in the midst of a transaction"));
            return;
        } else if (answer instanceof FinalAnswer.Refused<Answer> r) {
            context.count("pooling_refused");
            reject(answered.refusal(r.retryIn(), refusal), answered.whole);
        } else if (answer instanceof FinalAnswer.Failed<Answer> f) {
            context.count("pooling_failed");
            reject(answered.failure(f.mayHaveRun(), f.why()), answered.whole);
        }
        processHeld();
    }

    void write(List<Frame> frames) {
        if (!frames.isEmpty()) {
            connection.write(Frame.join(frames));
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
            processHeld(); // the cancel follows it to the server
        }
        if (opening == null) {
            held.cancelled();
            return;
        }
        Server server = opening.server;
        if (server != null && server.opening() == opening) {
            context.cancel(server);
            return;
        }
        boolean whole = opening.whole;        // it only waits: that ends here
        opening = null;
        context.withdraw(this);
        request = null;
        enter(ClientState.IDLE);
        reject("57014", "canceled while it waited", whole);
        processHeld();
    }

    /** Tells the client why, and ends its connection. */
    void fatal(String code, String message) { end(Frame.error("FATAL", code, message, null)); }

    void end(Frame error) {
        if (state == ClientState.LEAVING) {
            return;
        }
        if (connection != null) {
            connection.write(error.wire());
            connection.finish();
        }
        detach();
    }

    /** Between two transactions, with nothing half read. */
    boolean idle() {
        return state == ClientState.IDLE && held.isEmpty() && collector.isEmpty() && decoder.atMessageBoundary() || lease != null && lease.betweenTransactions()
                && held.isEmpty() && decoder.atMessageBoundary();
    }

    void closeIfIdle() {
        if (idle()) {
            fatal("57P01", "this pooler ends or drains");
        }
    }

    @Override public void ended(String why) { detach(); }

    @Override public void closed() {
        detach();
        context.closed(this);
    }

    void disconnect() {
        detach();
        connection.close();
    }

    private void detach() {
        if (state == ClientState.LEAVING) {
            return;
        }
        enter(ClientState.LEAVING);
        held.clear();
        collector.clear();
        context.reserveBytes(-accountedBytes);
        accountedBytes = 0;
        lease = null;
        opening = null;
        context.withdraw(this);
    }
}
