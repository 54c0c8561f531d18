package crankspar.lab;

import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.pooling.Frame;
import crankspar.pooling.FrameDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** One connection of the stand-in: the protocol's state, a session's settings, statements, portals and transaction. */
final class PgBackend implements ConnectionHandler {
    /** An error to be told, with its SQLSTATE. */
    static final class Failed extends Exception {
        final String code;

        Failed(String code, String message) {
            super(message);
            this.code = code;
        }
    }

    private record Prepared(String sql, int[] types) { }

    private static final class Portal {
        final String sql;
        final List<String> parameters;
        MiniSql.Result result;
        int at;

        Portal(String sql, List<String> parameters) {
            this.sql = sql;
            this.parameters = parameters;
        }
    }

    final PgServer server;
    final int connection;
    final Settings settings = new Settings();
    private final FrameDecoder decoder = new FrameDecoder(true);
    private final int secret = new Random().nextInt();
    private final Map<String, Prepared> statements = new LinkedHashMap<>();
    private final Map<String, String> sqlStatements = new HashMap<>();
    private final Map<String, Portal> portals = new HashMap<>();
    private final Map<String, Portal> cursors = new HashMap<>();
    private final java.util.Set<String> stale = new java.util.HashSet<>();
    private final ArrayDeque<Frame> waiting = new ArrayDeque<>();
    private final List<Recording.Executed> inTransaction = new ArrayList<>();
    private final Map<String, String> told = new HashMap<>();
    private final List<Frame> out = new ArrayList<>();
    private Connection wire;
    private String user = "";
    private boolean started, simple, busy, skipping, failed, block, blockReads, stalled, closed;
    private String copying;
    private boolean copyExtended;
    private int copied;
    private long transaction;
    private String running;
    private Runnable stopRunning;
    private List<String> rest = List.of();

    PgBackend(PgServer server, int connection) {
        this.server = server;
        this.connection = connection;
    }

    @Override public void opened(Connection out) { wire = out; }

    @Override public void received(ByteBuffer in) {
        if (stalled) {
            in.position(in.limit());
            return;
        }
        decoder.feed(in);
        try {
            for (Frame f = decoder.next(); f != null && !closed; f = decoder.next()) {
                waiting.add(f);
            }
            int most = decoder.held() > 4 && started ? server.fault.bytes(connection, decoder.headType()) : 0;
            if (most > 0 && decoder.held() >= most) {
                server.fault.cut();
                cut("cut in a message");
                return;
            }
            goOn();
        } catch (Frame.Malformed e) {
            say(Frame.error("FATAL", "08P01", e.getMessage(), null));
            flush();
            cut("malformed");
        }
    }

    private void goOn() throws Frame.Malformed {
        while (!busy && !closed && !stalled && !waiting.isEmpty()) {
            Frame f = waiting.poll();
            if (started && server.fault.bytes(connection, f.type()) > 0) {
                server.fault.cut();
                cut("cut in a message");
                return;
            }
            on(f);
        }
        if (!busy) {
            flush();
        }
    }

    private void say(Frame f) { out.add(f); }

    private void flush() {
        if (!out.isEmpty() && !closed && !stalled) {
            byte[] bytes = Frame.join(out);
            out.clear();
            wire.write(bytes);
        }
    }

    /** Whether it goes on: false where the fault has ended or stalled this connection. */
    private boolean goes(Fault.Act act) {
        switch (act) {
            case CUT -> cut("cut");
            case RESET -> {
                wire.reset();
                over("reset");
            }
            case STALL -> {
                stalled = true;
                wire.reading(false);
            }
            case NONE -> { }
        }
        return act == Fault.Act.NONE;
    }

    void cut(String why) {
        if (!closed) {
            wire.close();
            over(why);
        }
    }

    private void over(String why) {
        if (!closed) {
            closed = true;
            server.recording.add(new Recording.Ended(server.name, connection, why, decoder.held()));
            server.backends.remove(connection);
            server.channels.values().forEach(c -> c.remove(this));
            end(false);
        }
    }

    @Override public void ended(String why) { over(why); }

    @Override public void closed() { over("closed"); }

    void dropStatements() { statements.clear(); }

    void stalePlans() { stale.addAll(statements.keySet()); }

    // ---- Messages.
    private void on(Frame f) throws Frame.Malformed {
        if (!started) {
            start(f);
            return;
        }
        String text = switch (f.type()) {
            case 'Q' -> f.read().text();
            case 'P' -> {
                Frame.Reader r = f.read();
                r.text();
                yield r.text();
            }
            default -> "";
        };
        if (!goes(server.fault.received(connection, f.type(), text))) {
            return;
        }
        if (skipping && f.type() != 'S' && f.type() != 'X') {
            return;
        }
        try {
            switch (f.type()) {
                case 'Q' -> query(text);
                case 'P' -> parse(f);
                case 'B' -> bind(f);
                case 'D' -> describe(f);
                case 'E' -> execute(f);
                case 'C' -> close(f);
                case 'S' -> sync();
                case 'H' -> flush();
                case 'd', Frame.PART -> copied += copying == null || !f.whole() && f.type() != Frame.PART ? 0 : 1;
                case 'c', 'f' -> copied(f.type() == 'c');
                case 'X' -> {
                    wire.close();
                    over("terminated");
                }
                default -> throw new Failed("08P01", "message type " + f.type());
            }
        } catch (Failed e) {
            fail(e);
            if (f.type() == 'Q') {
                ready();
            } else {
                skipping = true;
            }
        }
    }

    private void start(Frame f) throws Frame.Malformed {
        Frame.Reader r = f.read();
        if (f.type() == Frame.ENCRYPTION) {
            wire.write(new byte[] {'N'});
            return;
        }
        r.int32();
        if (f.type() == Frame.CANCEL) {
            int process = r.int32();
            int key = r.int32();
            PgBackend target = server.backends.get(process);
            if (target != null && target.secret == key) {
                server.recording.add(new Recording.Cancel(server.name, process, target.running));
                target.cancel();
            }
            wire.finish();
            return;
        }
        var parameters = new LinkedHashMap<String, String>();
        for (String n = r.text(); !n.isEmpty(); n = r.text()) {
            parameters.put(n, r.text());
        }
        user = parameters.getOrDefault("user", "");
        if (server.backends.size() >= server.connectionsMost) {
            wire.write(Frame.error("FATAL", "53300", "sorry, too many clients already", null).wire());
            wire.finish();
            return;
        }
        if (parameters.getOrDefault("database", "").startsWith("no_")) {
            wire.write(Frame.error("FATAL", "3D000", "database \"" + parameters.get("database") + "\" does not exist", null).wire());
            wire.finish();
            return;
        }
        parameters.forEach((n, v) -> {
            String name = Settings.name(n);
            if (name != null) {
                settings.set(name, v, false);
            }
        });
        settings.commit();
        started = true;
        server.backends.put(connection, this);
        say(Frame.body().int32(0).as('R'));
        say(Frame.parameter("server_version", "15.0 (stand-in)"));
        say(Frame.parameter("integer_datetimes", "on"));
        say(Frame.parameter("server_encoding", "UTF8"));
        for (String name : Settings.REPORTED) {
            told.put(name, settings.get(name));
            say(Frame.parameter(name, settings.get(name)));
        }
        notes();
        say(Frame.body().int32(connection).int32(secret).as('K'));
        say(Frame.ready('I'));
        flush();
    }

    private void notes() {
        say(Frame.parameter("role", server.primary ? "primary" : "replica"));
        if (server.tellsPosition) {
            say(Frame.parameter("applied_ms", Long.toString((long) server.position())));
        }
    }

    private void cancel() {
        if (stopRunning != null) {
            Runnable stop = stopRunning;
            stopRunning = null;
            stop.run();
        }
    }

    // ---- Ready, errors and transactions.
    private char status() { return failed ? 'E' : block ? 'T' : 'I'; }

    private void ready() {
        if (!block) {
            end(!failed);
            failed = false;
        }
        for (String name : Settings.REPORTED) {
            if (!settings.get(name).equals(told.put(name, settings.get(name)))) {
                say(Frame.parameter(name, settings.get(name)));
            }
        }
        notes();
        if (goes(server.fault.answering(connection, 'Z', String.valueOf(status())))) {
            say(Frame.ready(status()));
            flush();
        }
    }

    private void fail(Failed e) {
        failed = true;
        copying = null;
        say(Frame.error("ERROR", e.code, e.getMessage(), null));
    }

    private void sync() {
        skipping = false;
        ready();
    }

    /** A transaction ends: its statements share its fate. */
    private void end(boolean commit) {
        if (commit && inTransaction.stream().anyMatch(e -> MiniSql.writes(MiniSql.bare(e.sql)))) {
            server.committed();
        }
        inTransaction.forEach(e -> e.fate = commit ? Recording.Fate.COMMITTED : Recording.Fate.ROLLED_BACK);
        inTransaction.clear();
        if (commit) {
            settings.commit();
        } else {
            settings.rollback();
        }
        block = blockReads = false;
        transaction = 0;
        portals.clear();
        cursors.values().removeIf(c -> !c.sql.contains("WITH HOLD"));
    }

    // ---- Simple queries.
    private void query(String text) throws Failed {
        simple = true;
        statements.remove("");
        List<String> all = MiniSql.split(text);
        if (all.isEmpty()) {
            say(MiniSql.EMPTY);
            ready();
            return;
        }
        rest = new ArrayList<>(all);
        next();
    }

    private void next() {
        while (!rest.isEmpty() && !closed && !stalled) {
            String sql = rest.remove(0);
            boolean[] inline = {true, false};
            try {
                var portal = new Portal(sql, List.of());
                run(portal, () -> {
                    if (!closed && !stalled) {
                        if (portal.result != null && portal.result.columns() != null) {
                            say(portal.result.description());
                        }
                        inline[1] = rows(portal, 0, false);
                        if (!inline[0] && inline[1]) {
                            next();
                        }
                    }
                });
            } catch (Failed e) {
                fail(e);
                rest = List.of();
                break;
            }
            inline[0] = false;
            if (!inline[1]) {
                return;                       // it goes on when the work, or the copy, is done
            }
        }
        if (!closed && !stalled) {
            ready();
        }
    }

    // ---- The extended protocol.
    private void parse(Frame f) throws Frame.Malformed, Failed {
        Frame.Reader r = f.read();
        String name = r.text();
        String sql = r.text();
        int[] types = new int[r.int16()];
        for (int i = 0; i < types.length; i++) {
            types[i] = r.int32();
        }
        if (failed && !MiniSql.ends(sql)) {
            throw aborted();
        }
        if (!name.isEmpty() && (statements.containsKey(name) || sqlStatements.containsKey(name))) {
            throw new Failed("42P05", "prepared statement \"" + name + "\" already exists");
        }
        if (sql.contains("no_such_table")) {
            throw new Failed("42P01", "relation \"no_such_table\" does not exist");
        }
        server.recording.prepares.incrementAndGet();
        statements.put(name, new Prepared(sql, types));
        stale.remove(name);
        if (goes(server.fault.answering(connection, 'P', sql))) {
            say(Frame.body().as('1'));
        }
    }

    private Prepared statement(String name) throws Failed {
        Prepared p = statements.get(name);
        if (p == null) {
            throw new Failed("26000", "prepared statement \"" + name + "\" does not exist");
        }
        return p;
    }

    private void bind(Frame f) throws Frame.Malformed, Failed {
        Frame.Reader r = f.read();
        String portal = r.text();
        String name = r.text();
        Prepared p = statement(name);
        if (stale.contains(name)) {
            throw new Failed("0A000", "cached plan must not change result type");
        }
        int[] formats = new int[r.int16()];
        for (int i = 0; i < formats.length; i++) {
            formats[i] = r.int16();
        }
        var parameters = new ArrayList<String>();
        for (int n = r.int16(), i = 0; i < n; i++) {
            int length = r.int32();
            byte[] value = length < 0 ? null : r.bytes(length);
            int format = formats.length == 0 ? 0 : formats[formats.length == 1 ? 0 : i];
            parameters.add(value == null ? null : format == 0 ? new String(value, StandardCharsets.UTF_8) : binary(value));
        }
        if (failed && !MiniSql.ends(p.sql())) {
            throw aborted();
        }
        portals.put(portal, new Portal(p.sql(), parameters));
        if (goes(server.fault.answering(connection, 'B', p.sql()))) {
            say(Frame.body().as('2'));
        }
    }

    /** Whole numbers as drivers send them. */
    private static String binary(byte[] value) {
        ByteBuffer b = ByteBuffer.wrap(value);
        return switch (value.length) {
            case 2 -> Short.toString(b.getShort());
            case 4 -> Integer.toString(b.getInt());
            case 8 -> Long.toString(b.getLong());
            default -> new String(value, StandardCharsets.UTF_8);
        };
    }

    private void describe(Frame f) throws Frame.Malformed, Failed {
        Frame.Reader r = f.read();
        boolean ofStatement = r.code() == 'S';
        String name = r.text();
        String sql;
        if (ofStatement) {
            Prepared p = statement(name);
            sql = p.sql();
            int n = Math.max(p.types().length, MiniSql.parameters(sql));
            Frame.Body b = Frame.body().int16(n);
            for (int i = 0; i < n; i++) {
                b.int32(i < p.types().length && p.types()[i] != 0 ? p.types()[i] : 25);
            }
            say(b.as('t'));
        } else {
            Portal portal = portals.get(name);
            if (portal == null) {
                throw new Failed("34000", "portal \"" + name + "\" does not exist");
            }
            sql = portal.sql;
        }
        MiniSql.Result shape = MiniSql.shape(this, sql);
        say(shape.columns() == null ? Frame.body().as('n') : shape.description());
    }

    private void execute(Frame f) throws Frame.Malformed, Failed {
        Frame.Reader r = f.read();
        String name = r.text();
        int limit = r.int32();
        simple = false;
        Portal portal = portals.get(name);
        if (portal == null) {
            throw new Failed("34000", "portal \"" + name + "\" does not exist");
        }
        if (portal.result != null) {
            rows(portal, limit, true);
            return;
        }
        run(portal, () -> rows(portal, limit, true));
    }

    private void close(Frame f) throws Frame.Malformed {
        Frame.Reader r = f.read();
        if (r.code() == 'S') {
            String name = r.text();
            statements.remove(name);
            sqlStatements.remove(name);
        } else {
            portals.remove(r.text());
        }
        say(Frame.body().as('3'));
    }

    // ---- Running.
    private Failed aborted() { return new Failed("25P02", "current transaction is aborted, commands ignored until end of transaction block"); }

    /** Runs a statement; {@code then} has its result, now or when its work is done. */
    private void run(Portal portal, Runnable then) throws Failed {
        String sql = MiniSql.bare(portal.sql);
        if (failed && !MiniSql.ends(sql)) {
            throw aborted();
        }
        if (!block && server.draining && !sql.isEmpty()) {
            throw new Failed("57P03", "the server drains");
        }
        if (!server.primary && MiniSql.writes(sql)) {
            throw new Failed("25006", "cannot execute " + MiniSql.first(sql) + " in a read-only transaction");
        }
        if (block && blockReads && MiniSql.writes(sql)) {
            throw new Failed("25006", "cannot execute " + MiniSql.first(sql) + " in a read-only transaction");
        }
        if (transaction == 0) {
            transaction = server.nextTransaction();
        }
        String shown = MiniSql.filled(portal.sql, portal.parameters);
        if (!sql.isEmpty()) {
            var executed = new Recording.Executed(server.name, connection, user, transaction, shown,
                    server.recording.whole ? settings.set() : Map.of());
            server.recording.add(executed);
            inTransaction.add(executed);
        }
        double ms = MiniSql.sleep(sql) + (MiniSql.works(sql) ? server.work : 0);
        server.held(ms);
        if (ms <= 0 && !server.isStalled()) {
            portal.result = MiniSql.run(this, portal.sql, portal.parameters);
            then.run();
            return;
        }
        busy = true;
        running = shown;
        boolean[] over = new boolean[1];
        stopRunning = () -> {
            over[0] = true;
            resume(() -> {
                throw new Failed("57014", "canceling statement due to user request");
            }, null);
        };
        server.work(ms, () -> {
            if (!over[0] && !closed) {
                over[0] = true;
                resume(() -> portal.result = MiniSql.run(this, portal.sql, portal.parameters), then);
            }
        });
    }

    private interface Step { void go() throws Failed; }

    /** The work is done, or stopped: what is due now, and then the messages that have come meanwhile. */
    private void resume(Step step, Runnable then) {
        busy = false;
        running = null;
        stopRunning = null;
        try {
            step.go();
            then.run();
        } catch (Failed e) {
            fail(e);
            if (simple) {
                rest = List.of();
                ready();
            } else {
                skipping = true;
            }
        }
        try {
            goOn();
        } catch (Frame.Malformed e) {
            cut("malformed");
        }
    }

    /** Gives rows up to a limit; whether the statement is over, and no copy has begun. */
    private boolean rows(Portal portal, int limit, boolean extended) {
        MiniSql.Result result = portal.result;
        if (result.copy() != null) {
            return copy(result, extended);
        }
        if (result.columns() != null) {
            int n = 0;
            while (portal.at < result.count()) {
                if (limit > 0 && n == limit) {
                    say(Frame.body().as('s'));
                    return true;
                }
                say(result.row(portal.at++));
                n++;
            }
        }
        if (goes(server.fault.answering(connection, extended ? 'E' : 'Q', result.tag()))) {
            say(result.tag().isEmpty() ? MiniSql.EMPTY : Frame.complete(result.tag()));
        }
        return !closed && !stalled;
    }

    private boolean copy(MiniSql.Result result, boolean extended) {
        boolean in = result.copy().equals("in");
        say(Frame.body().code((char) 0).int16(1).int16(0).as(in ? 'G' : 'H'));
        if (in) {
            copying = result.tag();
            copyExtended = extended;
            copied = 0;
            flush();
            return extended;
        }
        for (int i = 0; i < result.count(); i++) {
            say(Frame.body().bytes((result.text(i) + "\n").getBytes(StandardCharsets.UTF_8)).as('d'));
        }
        say(Frame.body().as('c'));
        say(Frame.complete("COPY " + result.count()));
        return true;
    }

    private void copied(boolean good) throws Failed {
        if (copying == null) {
            return;
        }
        copying = null;
        if (!good) {
            fail(new Failed("57014", "COPY from stdin failed"));
            skipping = copyExtended;
        } else {
            say(Frame.complete("COPY " + copied));
        }
        if (!copyExtended) {
            if (good) {
                next();
            } else {
                rest = List.of();
                ready();
            }
        }
    }

    // ---- What statements do to their session, for MiniSql.
    void begin(boolean reads) {
        if (!block) {
            block = true;
            blockReads = reads || settings.get("default_transaction_read_only").equals("on");
        }
    }

    /** COMMIT or ROLLBACK; the tag tells what came of it. */
    String finish(boolean commit) {
        boolean good = commit && !failed;
        failed = false;
        end(good);
        return good ? "COMMIT" : "ROLLBACK";
    }

    boolean inBlock() { return block; }

    void rolledBackTo() { failed = false; }

    int prepareSql(String name, String sql) throws Failed {
        if (sqlStatements.containsKey(name) || statements.containsKey(name)) {
            throw new Failed("42P05", "prepared statement \"" + name + "\" already exists");
        }
        server.recording.prepares.incrementAndGet();
        sqlStatements.put(name, sql);
        return 0;
    }

    String preparedSql(String name) throws Failed {
        String sql = sqlStatements.get(name);
        if (sql == null) {
            throw new Failed("26000", "prepared statement \"" + name + "\" does not exist");
        }
        return sql;
    }

    void deallocate(String name) throws Failed {
        if (name == null) {
            statements.clear();
            sqlStatements.clear();
        } else if (sqlStatements.remove(name) == null && statements.remove(name) == null) {
            throw new Failed("26000", "prepared statement \"" + name + "\" does not exist");
        }
    }

    void listen(String channel) { server.channels.computeIfAbsent(channel, k -> new java.util.HashSet<>()).add(this); }

    void unlisten(String channel) {
        server.channels.forEach((name, all) -> {
            if (channel == null || channel.equals(name)) {
                all.remove(this);
            }
        });
    }

    void notify(String channel, String payload) {
        for (PgBackend b : server.channels.getOrDefault(channel, java.util.Set.of())) {
            b.wire.write(Frame.body().int32(connection).text(channel).text(payload).as('A').wire());
        }
    }

    void declare(String name, String sql, String whole) throws Failed {
        var portal = new Portal(whole, List.of());
        portal.result = MiniSql.run(this, sql, List.of());
        cursors.put(name, portal);
    }

    /** The next rows of a cursor. */
    MiniSql.Result fetch(String name, int n) throws Failed {
        Portal c = cursors.get(name);
        if (c == null) {
            throw new Failed("34000", "cursor \"" + name + "\" does not exist");
        }
        int from = c.at;
        c.at = Math.min(c.result.count(), from + n);
        return c.result.part(from, c.at);
    }

    void closeCursor(String name) {
        if (name == null) {
            cursors.clear();
        } else {
            cursors.remove(name);
        }
    }
}
