package crankspar.pooling;

import crankspar.core.FinalAnswer;
import crankspar.core.Ports;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.MemoryBudget;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A client connection. It submits the messages that open a transaction as one request and forwards the rest
 * on its server connection. Each command gets one answer, in order, or the connection ends with an error.
 */
final class Client implements ConnectionHandler, Ports.Reply<Answer>, MemoryBudget.Holder {
    /** Frames that are processed before other connections have their turn, and no more past so many bytes. */
    private static final int MAX_FRAMES_PER_TURN = 8;
    private static final int MAX_BYTES_PER_TURN = 64 * 1024;

    private final ClientContext context;
    private final FrameDecoder decoder = new FrameDecoder(true);
    private final int process;
    private final int secret;
    private final double connectedAt;
    private Connection connection;
    private ClientState state = ClientState.LOGIN;
    private double stateSince, arrivedAt, submittedAt;
    private final Login login;
    /** Frames received but not yet processed; their bytes count against the limit shared by all clients. */
    private final FrameQueue held = new FrameQueue();
    private final ClientReading reading = new ClientReading(held);
    private final ClientBuffers buffers;
    private final ClientOutput output;
    private final BatchCollector collector;
    private final LongTextTurn longTexts;
    private boolean processing;
    private OpeningBatch opening;
    private Lease lease;
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
        buffers = new ClientBuffers(desk, this);
        output = new ClientOutput(buffers);
        longTexts = new LongTextTurn(desk, this::resume, this::refuseLongText);
    }

    int process() { return process; }
    int secret() { return secret; }
    ClientState state() { return state; }
    double stateSince() { return stateSince; }
    double connectedAt() { return connectedAt; }
    ServerKey key() { return login.key(); }
    String user() { return login.user(); }
    String databaseName() { return login.databaseName(); }
    SessionState session() { return login.session(); }
    OpeningBatch opening() { return opening; }
    Lease lease() { return lease; }
    long transactions() { return transactions; }
    /** When (ms) the opening batch arrived at the earliest, or became next in line if that is later. */
    double submittedAt() { return submittedAt; }
    /** The client's database in the current configuration, or null if it was removed. */
    Setup.Database database() { return context.database(databaseName()); }
    private void enter(ClientState next) {
        state = next; stateSince = context.now();
    }

    @Override public void opened(Connection out) {
        connection = out;
        output.opened(out);
        reading.opened(out);
    }

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
        if (accountBytes()) {
            reading.update();
            context.runLater(this::resume);
        }
    }

    // ---- Login.
    void refuseEncryption() { connection.write(new byte[] {'N'}); }
    void loggedIn(List<Frame> frames) {
        enter(ClientState.IDLE);
        write(frames);
    }

    /** Processes the queued frames in order, until one has to wait or the turn of others has come. */
    private void processHeld() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            int enough = held.bytes() - MAX_BYTES_PER_TURN;
            for (int i = 0; i < MAX_FRAMES_PER_TURN && held.bytes() > enough && !held.isEmpty() && canProceed()
                    && longTexts.mayRead(held, lease != null); i++) {
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
            longTexts.ended();
        }
        if (accountBytes()) {
            reading.update();
            if (!held.isEmpty() && canProceed() && !longTexts.waiting()) {
                context.runBehind(this::resume);
            }
        }
        if (context.draining()) {
            closeIfIdle();
        }
    }

    /** The next message has a long text that has waited too long for its turn. */
    private void refuseLongText() {
        if (held.isEmpty() || !canProceed()) {
            return;
        }
        collector.refuse(held.poll(), lease != null);
        processHeld();
    }

    /** Between transactions nothing is taken while answers wait for a client that does not read them. */
    private boolean canProceed() {
        return state != ClientState.LEAVING && (lease != null ? !lease.awaitingReady() && reading.serverWritable()
                : state == ClientState.IDLE && opening == null && !connection.unsent());
    }

    /** False if the client is leaving, or has to because there is no room for its messages. */
    boolean accountBytes() {
        if (state != ClientState.LEAVING && !buffers.account(held.bytes() + collector.bytes(), decoder, session(), opening)) {
            fatal("53200", "the memory limit for clients' messages and sessions is reached");
        }
        return state != ClientState.LEAVING;
    }

    @Override public void drained() {
        buffers.unsent(0);
        context.runLater(this::resume);
    }
    @Override public void shed() {
        if (state == ClientState.LEAVING || connection.unsent()) {
            disconnect(); // it does not read: it would not hear why
        }
        fatal("53200", "the memory is needed for other clients");
    }

    /** Called when the server connection can take more data, or can take none for now. */
    void serverWritable(boolean on) {
        reading.serverWritable(on);
        if (state != ClientState.LEAVING) {
            if (on) {
                processHeld();
            }
            reading.update();
        }
    }

    /** Called when the server is ready for the next batch, or when new frames have arrived. */
    void resume() {
        connection.readNow();
        if (state != ClientState.LEAVING) {
            processHeld();
        }
    }

    @Override public void accepted(String request) { this.request = request; }
    @Override public boolean clientConnected() {
        boolean allRead = reading.lookAhead();
        if (state != ClientState.LEAVING) {
            reading.update();
            if (!allRead && request != null && lease == null) {
                context.refuse(this, "its client sends more than is read");
            }
        }
        return state != ClientState.LEAVING;
    }

    private void handle(Frame f) throws Frame.Malformed {
        if (f.type() == 'X') {
            disconnect();
        } else if (login.console() != null) {
            write(login.console().answer(f));
        } else {
            collector.take(f);
        }
    }

    /** Whether a cancel request arrived for the batch being opened; a cancel applies only once. */
    boolean takeCancel() { return held.takeCancel(); }

    void submit(OpeningBatch opening) {
        if (!buffers.request(opening)) {
            reject("53200", "there is no memory for this statement now", opening.whole);
            return;
        }
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
        output.passOn(lease);
        fromServer(answer.frames());
    }

    /** Passes on frames from the server as they arrive. */
    void fromServer(List<Frame> frames) {
        if (state != ClientState.LEAVING && !frames.isEmpty() && !output.fromServer(frames)) {
            shed();
        }
    }

    @Override public void answer(FinalAnswer<Answer> answer) { answer(answer, "refused: trying again is harmless"); }

    private void answer(FinalAnswer<Answer> answer, String refusal) {
        OpeningBatch answered = opening;
        boolean begun = lease != null;
        opening = null;
        lease = null;
        output.ended();
        request = null;
        session().queryEnded();
        reading.serverWritable(true);
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
        if (!frames.isEmpty() && !output.write(frames) && state != ClientState.LEAVING) {
            shed();
        }
    }

    // ---- Cancel and disconnect.
    /** Handles a cancel request. It came on another connection: what the client sent earlier is read first. */
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
        if (opening.atServer()) {
            context.cancel(opening.server);
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
        buffers.release(); context.closed(this);
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
        buffers.leaving(connection == null ? 0 : connection.unsentBytes());
        decoder.release();
        lease = null;
        output.ended();
        opening = null;
        context.withdraw(this);
    }
}
