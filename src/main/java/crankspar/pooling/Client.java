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
 * A client connection. It submits the messages that open a transaction as one request and forwards the rest
 * on its server connection. Each command gets one answer, in order, or the connection ends with an error.
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
    private double stateSince, arrivedAt, submittedAt;
    private ServerKey key;
    private String databaseName;
    private String user;
    private SessionState session;
    private final Login login;
    /** Frames received but not yet processed; their bytes count against the limit shared by all clients. */
    private final FrameQueue held = new FrameQueue();
    private int accountedBytes;
    private final BatchCollector collector;
    private boolean processing, serverWritable = true, reading = true;
    /** Set only for a client of the admin console, else null. */
    private ConsoleSession console;
    private OpeningBatch opening;
    private Lease lease;
    private Backpressure toClient;
    long ticket;
    /** The id that the core gave the current request, or null. */
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
    /** When (ms) the opening batch arrived at the earliest, or became next in line if that is later. */
    double submittedAt() { return submittedAt; }

    /** The client's database in the current configuration, or null if it was removed. */
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

    // ---- Login.
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

    /** Processes the queued frames in order, until one has to wait. */
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
        return lease != null ? !lease.awaitingReady() && serverWritable
                : state == ClientState.IDLE && opening == null;
    }

    private void accountBytes() {
        int current = held.bytes() + collector.bytes() + decoder.bufferedBytes();
        int change = current - accountedBytes;
        accountedBytes = current;
        if (change != 0 && !context.reserveBytes(change)) {
            fatal("53200", "the memory limit for client messages is reached");
        }
    }

    /** Stops reading from the client while too much is queued; a whole message always fits the queue. */
    private void updateReading() {
        boolean wanted = held.bytes() <= MAX_HELD_BYTES && serverWritable;
        if (wanted != reading) {
            reading = wanted;
            connection.reading(wanted);
        }
    }

    /** Called when the server connection can take more data, or can take none for now. */
    void serverWritable(boolean on) {
        serverWritable = on;
        if (state != ClientState.LEAVING) {
            if (on) {
                processHeld();
            }
            updateReading();
        }
    }

    /** Called when the server is ready for the next batch, or when new frames have arrived. */
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

    /** Whether a cancel request arrived for the batch being opened; a cancel applies only once. */
    boolean takeCancel() { return held.takeCancel(); }

    void submit(OpeningBatch opening) {
        this.opening = opening;
        submittedAt = Math.max(arrivedAt, stateSince);
        if (state != ClientState.LOGIN) {
            enter(ClientState.WAITING);
        }
        context.submit(this, opening);
    }

    /** Called when the client has its place and the core has its request. */
    void placeAssigned() {
        if (state == ClientState.WAITING) {
            enter(ClientState.ACTIVE);
        }
    }

    /** Sends an error between transactions; the rest of an incomplete batch is skipped up to its Sync. */
    void reject(String code, String message, boolean whole) { reject(Frame.error("ERROR", code, message, null), whole); }

    private void reject(Frame error, boolean whole) {
        collector.skip(!whole);
        write(whole ? List.of(error, Frame.ready('I')) : List.of(error));
    }

    // ---- The answer.
    /** Called when no place became free. */
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

    /** Passes on frames from the server as they arrive. */
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
            collector.skip(!begun && !answered.whole); // the batch did not begin; its Sync is still to come
            write(s.answer().frames());
        } else if (begun) { // only FATAL tells the client that the next command starts a new transaction
            context.count(answered.outcome == Progress.Outcome.UNKNOWN ? "pooling_unknown" : "pooling_broken");
            end(LostConnection.error("FATAL", answered.outcome, "during a transaction"));
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

    // ---- Cancel and disconnect.
    /**
     * Handles a cancel request. It arrived on another connection, which may have been read before this one,
     * so what the client sent earlier is read first.
     */
    void cancelled() {
        if (!clientConnected() || state == ClientState.LOGIN) {
            return;
        }
        if (lease != null) {
            processHeld(); // so that the cancel reaches the server after the client's messages
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
        boolean whole = opening.whole; // only waits, no server has it: end the wait here
        opening = null;
        context.withdraw(this);
        request = null;
        enter(ClientState.IDLE);
        reject("57014", "canceled while it waited", whole);
        processHeld();
    }

    /** Sends the client a FATAL error and closes its connection. */
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

    /** Whether the client is between two transactions, with no partly received message. */
    boolean idle() {
        return state == ClientState.IDLE && held.isEmpty() && collector.isEmpty() && decoder.atMessageBoundary()
                || lease != null && lease.betweenTransactions() && held.isEmpty() && decoder.atMessageBoundary();
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
