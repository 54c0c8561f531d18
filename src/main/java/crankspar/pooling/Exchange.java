package crankspar.pooling;

import crankspar.pooling.Sql.Kind;
import crankspar.pooling.Sql.Statement;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One conversation between a client and the server connection that it has: what of the client's messages goes on, under
 * which names, and what of the server's answers goes back. It is stepped with one frame of either side and hands out
 * what to send; it knows no socket. It keeps, in the order of the protocol, what each message will be answered with, so
 * that what was brought for a client's sake is swallowed and what was spared it is said all the same.
 *
 * <p>After a Sync or a simple query nothing more goes on until the server is ready: what follows may be another
 * transaction, and so another member's. State changes count only when the server has said that the statement was done.
 */
final class Exchange {
    /** What one of the client's messages, or one of ours, is answered with. */
    private enum Step {
        PARSE, BIND, DESCRIBE_STATEMENT, DESCRIBE_PORTAL, EXECUTE, CLOSE, SYNC, QUERY, CALL,
        /** Brought for the client: its answer goes no further. */
        BROUGHT,
        /** Spared the server: its answer is made here. */
        SPARED
    }

    /**
     * A message out. Where the server passes over it after an error, both undoes run: what the client has prepared, and
     * what its connection holds. Where a whole batch is begun again, only the client's do.
     */
    private record Out(Step step, List<Statement> statements, Prepared prepared, Frame answer, Runnable client, Runnable server) {
        Out(Step step, Prepared prepared) { this(step, List.of(), prepared, null, Exchange::nothing, Exchange::nothing); }

        Out(Step step, List<Statement> statements, Frame answer) { this(step, statements, null, answer, Exchange::nothing, Exchange::nothing); }
    }

    /** What goes where after one step. */
    record Moves(List<Frame> toServer, List<Frame> toClient) { }

    private static void nothing() { }

    private final SessionState client;
    private final ServerState server;
    private Progress progress;
    private final Setup.Limits limits;
    private final java.util.Set<Pins.Kind> refused;
    private final ArrayDeque<Out> out = new ArrayDeque<>();
    private final Map<String, List<Statement>> portals = new HashMap<>(2);
    /** What was answered since the batch began, for one that is begun again. */
    private final List<Out> answered = new ArrayList<>(4);
    private List<Frame> toServer = new ArrayList<>(4);
    private List<Frame> toClient = new ArrayList<>(4);
    private int at;
    private char status = 'I';
    private boolean pausing, skipping, copying, passing, executed;
    /** Whether the client has begun a batch of the extended protocol and not sent its Sync. */
    private boolean clientBatchOpen;
    /** Whether the server has got a part of such a batch, and no Sync behind it. */
    private boolean serverBatchOpen;
    private long prepares, executions;
    private String dropped, error;

    Exchange(SessionState client, ServerState server, Progress progress, Setup.Limits limits, java.util.Set<Pins.Kind> refused) {
        this.client = client;
        this.server = server;
        this.progress = progress;
        this.limits = limits;
        this.refused = refused;
    }

    /** As the server said last: I, T or E. */
    char status() { return status; }

    /** Whether the client's next messages must wait for the server to be ready. */
    boolean pausing() { return pausing && !copying; }

    boolean copying() { return copying; }

    /** Whether nothing is out and both sides are between transactions. */
    boolean settled() { return quiet() && !inTransaction(); }

    /**
     * Whether a transaction is open: in a block, or in a batch without its Sync. The status that the server told last
     * knows nothing of the latter.
     */
    boolean inTransaction() { return status != 'I' || clientBatchOpen || serverBatchOpen; }

    /** Whether the server has got a part of a batch, and no Sync behind it. */
    boolean serverBatchOpen() { return serverBatchOpen; }

    /** Whether an error has been told after which nothing counts up to the client's Sync. */
    boolean awaitsSync() { return skipping; }

    /** Whether nothing is out. */
    boolean quiet() { return out.isEmpty() && !copying; }

    /** Parse messages that have gone to the server, and executions. */
    long prepares() { return prepares; }
    long executions() { return executions; }

    /**
     * Whether the batch that has just failed may be begun again here: all that was wrong is a statement that the server
     * had lost or whose plan no longer fitted, and nothing was executed.
     */
    boolean again() { return dropped != null && !executed && status == 'I'; }

    /** The SQLSTATE of a batch's first error, or null; known until the next batch begins. */
    String error() { return error; }

    /** Whether any statement of it has been executed, in whole or in part. */
    boolean executed() { return executed; }

    /** Takes back what the client has prepared and closed since the batch began, for it to be begun again. */
    void rewind() {
        while (!out.isEmpty()) {
            out.pollLast().client().run();
        }
        clientBatchOpen = serverBatchOpen = false;
        skipping = pausing = copying = passing = false;
        for (int i = answered.size() - 1; i >= 0; i--) {
            answered.get(i).client().run();
        }
        answered.clear();
        dropped = null;
        error = null;
    }

    // ---- From the client.
    Moves fromClient(Frame f) throws Frame.Malformed {
        begin();
        if (skipping && f.type() != 'S') {
            return moves();                   // the server would pass over it, and say nothing
        }
        clientBatchOpen = f.beginsBatch() || clientBatchOpen && !f.endsBatch();
        switch (f.type()) {
            case 'P' -> parse(f);
            case 'B' -> bind(f);
            case 'D', 'C' -> {
                Frame.Reader r = f.read();
                char kind = r.code();
                String name = r.text();
                if (f.type() == 'D') {
                    describe(f, kind, name);
                } else {
                    close(f, kind, name);
                }
            }
            case 'E' -> {
                List<Statement> statements = portals.getOrDefault(f.read().text(), List.of());
                progress.sending(statements, false);
                executions++;
                go(f, new Out(Step.EXECUTE, statements, null));
            }
            case 'H' -> toServer.add(f);
            case 'S' -> {
                skipping = false;
                pausing = true;
                go(f, new Out(Step.SYNC, null));
            }
            case 'Q' -> query(f);
            case 'F' -> {
                pausing = true;
                progress.sending(List.of(new Statement(Kind.WRITE, "", null, null, false)), true);
                go(f, new Out(Step.CALL, null));
            }
            case 'd' -> pass(f, copying);     // what comes outside a copy the server would drop without a word
            case Frame.PART -> pass(f, passing);
            case 'c', 'f' -> {
                if (copying) {
                    copying = false;
                    toServer.add(f);
                }
            }
            default -> throw new Frame.Malformed("message type " + f.type() + " out of turn");
        }
        return moves();
    }

    private void pass(Frame f, boolean on) {
        passing = on && !f.whole();
        if (on) {
            toServer.add(f);
        }
    }

    private void begin() {
        toServer = new ArrayList<>(4);
        toClient = new ArrayList<>(4);
    }

    private Moves moves() {
        spare();
        return new Moves(toServer, toClient);
    }

    private void go(Frame f, Out expected) {
        serverBatchOpen = f.beginsBatch() || serverBatchOpen && !f.endsBatch();
        toServer.add(f);
        out.add(expected);
    }

    /**
     * A name that is taken is an error of the server's, inside a block one that fails it; so it is asked to prepare
     * the statement that is there once more, which it refuses as it would have.
     */
    private void parse(Frame f) throws Frame.Malformed {
        Frame.Reader r = f.read();
        String name = r.text();
        Prepared statement = Prepared.of(r.text(), r.rest());
        if (refuse(statement.statements())) {
            return;
        }
        if (name.isEmpty()) {
            Prepared before = client.prepared("");
            client.prepare("", statement);
            Runnable undo = () -> client.prepare("", before);
            if (statement.equals(server.unnamed())) {
                out.add(new Out(Step.SPARED, List.of(), statement, Frame.PARSE_COMPLETE, undo, Exchange::nothing));
            } else {
                server.unnamed(statement);
                prepares++;
                go(statement.parse(""), new Out(Step.PARSE, List.of(), statement, null, undo, () -> server.unnamed(null)));
            }
            return;
        }
        Prepared taken = client.prepared(name);
        if (taken != null) {
            bring(taken);
            prepares++;
            go(statement.parse(taken.name()), new Out(Step.PARSE, null));
            return;
        }
        if (tooMany(statement.bytes())) {
            return;
        }
        client.prepare(name, statement);
        Runnable undo = () -> client.close(name);
        if (server.has(statement)) {
            out.add(new Out(Step.SPARED, List.of(), statement, Frame.PARSE_COMPLETE, undo, Exchange::nothing));
        } else {
            evict(statement);
            server.add(statement);
            prepares++;
            go(statement.parse(statement.name()), new Out(Step.PARSE, List.of(), statement, null, undo, () -> server.remove(statement)));
        }
    }

    /** Whether the operator refuses what one of these does; the client hears it in its turn. */
    private boolean refuse(List<Statement> statements) {
        for (Statement s : statements) {
            Pins.Kind kind = Pins.of(s);
            if (kind != null && refused.contains(kind)) {
                refuse("0A000", kind + " is refused here: it would hold a connection beyond its transaction");
                return true;
            }
        }
        return false;
    }

    private boolean tooMany(int bytes) {
        boolean over = client.statements() >= limits.statements() || client.bytes() + bytes > limits.statementBytes();
        if (over) {
            refuse("53400", "more than " + limits.statements() + " statements or " + limits.statementBytes()
                    + " bytes of them are prepared");
        }
        return over;
    }

    /** An error of ours, after the answers to all before it; the rest of its batch is passed over. */
    private void refuse(String code, String why) {
        out.add(new Out(Step.SPARED, List.of(), Frame.error("ERROR", code, why, null)));
        skipping = true;
    }

    /** Makes room for a statement: the least recently used ones are closed on the server. */
    private void evict(Prepared statement) {
        for (Prepared old : Carry.statement(server, statement, limits.serverStatements()).close()) {
            server.remove(old);
            go(Frame.close('S', old.name()), new Out(Step.BROUGHT, List.of(), old, null, Exchange::nothing, () -> server.add(old)));
        }
        if (server.unfit(statement)) {        // it may be there still, under a plan that no longer fits
            go(Frame.close('S', statement.name()), new Out(Step.BROUGHT, List.of(), statement, null, Exchange::nothing,
                    () -> server.drop(statement)));
        }
    }

    /** Has the server know a named statement of the client's. */
    private void bring(Prepared statement) {
        if (!server.has(statement)) {
            evict(statement);
            server.add(statement);
            prepares++;
            go(statement.parse(statement.name()), new Out(Step.BROUGHT, List.of(), statement, null, Exchange::nothing, () -> server.remove(statement)));
        }
    }

    /** The name under which the server knows what the client names; a name that nobody knows goes on as it is. */
    private String translate(String name) {
        Prepared statement = client.prepared(name);
        if (statement == null) {
            return name;
        }
        if (!name.isEmpty()) {
            bring(statement);
            return statement.name();
        }
        if (!statement.equals(server.unnamed())) {
            server.unnamed(statement);
            prepares++;
            go(statement.parse(""), new Out(Step.BROUGHT, List.of(), statement, null, Exchange::nothing, () -> server.unnamed(null)));
        }
        return "";
    }

    private void bind(Frame f) throws Frame.Malformed {
        Frame.Reader r = f.read();
        String portal = r.text();
        String name = r.text();
        Prepared statement = client.prepared(name);
        String there = translate(name);
        portals.put(portal, statement == null ? List.of(new Statement(Kind.WRITE, "", null, null, false)) : statement.statements());
        go(there.equals(name) ? f : Frame.body().text(portal).text(there).bytes(r.rest()).as('B'),
                new Out(Step.BIND, statement));
    }

    private void describe(Frame f, char kind, String name) {
        if (kind == 'S') {
            Prepared statement = client.prepared(name);
            String there = translate(name);
            go(there.equals(name) ? f : Frame.body().code('S').text(there).as('D'),
                    new Out(Step.DESCRIBE_STATEMENT, statement));
        } else {
            go(f, new Out(Step.DESCRIBE_PORTAL, null));
        }
    }

    /** A client's statement is closed here only: others may use what the server has. */
    private void close(Frame f, char kind, String name) {
        if (kind == 'S' && (client.prepared(name) != null || !client.sqlPrepared().containsKey(name))) {
            Prepared was = client.close(name);
            out.add(new Out(Step.SPARED, List.of(), was, Frame.CLOSE_COMPLETE, () -> {
                if (was != null) {
                    client.prepare(name, was);
                }
            }, Exchange::nothing));
            return;
        }
        if (kind == 'P') {
            portals.remove(name);
        }
        List<Statement> undoes = kind == 'S' ? List.of(new Statement(Kind.DEALLOCATE, "", name, null, false)) : List.of();
        go(f, new Out(Step.CLOSE, undoes, null));
    }

    private void query(Frame f) throws Frame.Malformed {
        String sql = f.read().text();
        List<Statement> statements = Sql.split(sql);
        boolean not = refuse(statements);
        for (Statement s : statements) {
            not = not || s.kind() == Kind.PREPARE && tooMany(s.text().length());
        }
        if (not) {
            skipping = false;
            out.add(new Out(Step.SPARED, List.of(), Frame.ready(status)));
            return;
        }
        pausing = true;
        at = 0;
        executions += statements.size();
        client.close("");
        server.unnamed(null);                 // a simple query does away with the unnamed statement
        if (statements.size() == 1 && statements.get(0).kind() == Kind.DEALLOCATE && client.prepared(statements.get(0).name()) != null) {
            // The server knows it under another name, and others use it there.
            go(Frame.query(""), new Out(Step.QUERY, statements, Frame.complete("DEALLOCATE")));
            return;
        }
        progress.sending(statements, true);
        go(f, new Out(Step.QUERY, statements, null));
    }

    // ---- From the server.
    /** Steps with one of its frames; one that nothing asked for is malformed, and the connection of no more use. */
    Moves fromServer(Frame f) throws Frame.Malformed {
        begin();
        switch (f.type()) {
            case 'N', 'A' -> toClient.add(f);
            case 'S' -> parameter(f);
            case 'E' -> error(f);
            case 'Z' -> ready(f);
            case Frame.PART, 'd' -> toClient.add(f);
            default -> answer(f);
        }
        return moves();
    }

    private void parameter(Frame f) throws Frame.Malformed {
        Frame.Reader r = f.read();
        String name = r.text();
        String value = r.text();
        if (ServerNotes.NAMES.contains(name)) {
            return;                           // they change with every answer: kept, each lease would compare all anew
        }
        server.report(name, value);
        if (!value.equals(client.told().get(name))) {
            client.told(client.told().plus(name, value));
            toClient.add(f);
        }
    }

    private Out top() throws Frame.Malformed {
        Out top = out.peek();
        if (top == null) {
            throw new Frame.Malformed("an answer that nothing asked for");
        }
        return top;
    }

    private void answer(Frame f) throws Frame.Malformed {
        Out top = top();
        boolean fits = switch (f.type()) {
            case '1' -> top.step() == Step.PARSE || top.step() == Step.BROUGHT;
            case '2' -> top.step() == Step.BIND;
            case '3' -> top.step() == Step.CLOSE || top.step() == Step.BROUGHT;
            case 't' -> top.step() == Step.DESCRIBE_STATEMENT;
            case 'T' -> top.step() == Step.DESCRIBE_STATEMENT || top.step() == Step.DESCRIBE_PORTAL || top.step() == Step.QUERY;
            case 'n' -> top.step() == Step.DESCRIBE_STATEMENT || top.step() == Step.DESCRIBE_PORTAL;
            case 'D', 'C', 'I', 'G', 'H', 'W' -> top.step() == Step.QUERY || top.step() == Step.EXECUTE;
            case 's' -> top.step() == Step.EXECUTE;
            case 'c' -> true;
            case 'V' -> top.step() == Step.CALL;
            default -> false;
        };
        if (!fits) {
            throw new Frame.Malformed("message type " + f.type() + " in answer to " + top.step());
        }
        if (top.step() == Step.BROUGHT) {
            take();
            return;
        }
        executed |= top.step() == Step.EXECUTE || top.step() == Step.QUERY || top.step() == Step.CALL;
        Frame said = f.type() == 'I' && top.answer() != null ? top.answer() : f;
        toClient.add(said);
        switch (f.type()) {
            case 'G', 'W' -> copying = true;
            case 'C', 'I' -> done(top, said);
            case 'D', 'H', 'd', 'c', 'V', 't' -> { }
            case 'T' -> {
                if (top.step() != Step.QUERY) {
                    take();
                }
            }
            default -> {
                if (top.step() == Step.CLOSE) {
                    top.statements().forEach(s -> both(s, ""));
                }
                take();
            }
        }
    }

    /** A statement is done: what it did to the session counts from now on, on both sides. */
    private void done(Out top, Frame said) throws Frame.Malformed {
        List<Statement> statements = top.statements();
        int i = top.step() == Step.QUERY ? at++ : 0;
        if (i < statements.size() && said.type() == 'C') {
            String tag = said.read().text();
            both(statements.get(i), tag);
            progress.decided(tag);
        }
        if (top.step() == Step.EXECUTE) {
            take();
        }
    }

    private void take() { answered.add(out.poll()); }

    private void both(Statement s, String tag) {
        client.done(s, tag);
        server.done(s, tag);
    }

    /** After an error in the extended protocol the server passes over everything up to the Sync. */
    private void error(Frame f) throws Frame.Malformed {
        Out top = out.peek();
        String code = f.fields().getOrDefault('C', "");
        error = error == null ? code : error;
        copying = false;
        client.failed();
        server.failed();
        toClient.add(f);
        if (top == null || top.step() == Step.QUERY || top.step() == Step.CALL || top.step() == Step.SYNC) {
            return;
        }
        // A statement that the server has lost, or whose plan no longer fits, is prepared anew when next used.
        if ((code.equals("26000") || code.equals("0A000")) && top.prepared() != null && top.step() != Step.PARSE) {
            dropped = code;
            server.drop(top.prepared());
        }
        var passedOver = new ArrayList<Out>();
        while (!out.isEmpty() && out.peek().step() != Step.SYNC) {
            passedOver.add(out.poll());
        }
        for (int i = passedOver.size() - 1; i >= 0; i--) {
            passedOver.get(i).client().run();
            passedOver.get(i).server().run();
        }
        skipping = out.isEmpty();
        if (skipping) {                       // a simple query behind the error is passed over, too: no ready follows
            clientBatchOpen = serverBatchOpen = true;
            pausing = false;
        }
    }

    private void ready(Frame f) throws Frame.Malformed {
        Out top = top();
        if (top.step() != Step.SYNC && top.step() != Step.QUERY && top.step() != Step.CALL) {
            throw new Frame.Malformed("ready before the answer to " + top.step());
        }
        out.poll();
        status = f.read().code();
        if (status != 'I' && status != 'T' && status != 'E') {
            throw new Frame.Malformed("ready in no known state");
        }
        pausing = copying = false;
        if (status == 'I') {
            portals.clear();
        }
        client.ready(status);
        server.ready(status);
        progress.ready(status);
        toClient.add(f);
    }

    /** The client keeps its connection and begins another transaction on it. */
    Progress next() {
        progress = new Progress();
        progress.shown();
        return progress;
    }

    /** The next batch begins: what is known of the last one's errors is over. */
    void batch() {
        answered.clear();
        executed = false;
        dropped = null;
        error = null;
    }

    /** Says what was spared the server, once it is its turn. */
    private void spare() {
        while (!out.isEmpty() && out.peek().step() == Step.SPARED) {
            toClient.add(out.peek().answer());
            take();
        }
    }
}
