package crankspar.pg;

import crankspar.Router.Role;
import crankspar.core.AttemptEnd;
import crankspar.core.AttemptEnd.Note;
import crankspar.core.Counters;
import crankspar.core.Reach;
import crankspar.net.Carrier;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.function.Consumer;

/**
 * The pooler's side of a connection to a server. The first request waits for the server's welcome: what has
 * not been welcomed has not been written, so that a write caught by a hang can still be proved unsent.
 */
final class ServerSession implements Carrier<Statement, PgAnswer> {
    private static final byte[] STARTUP;

    static {
        var parameters = new LinkedHashMap<String, String>();
        parameters.put("user", "client");
        parameters.put("database", "core");
        STARTUP = new PgEncoder().add(new PgMessage.Startup(parameters)).bytes();
    }

    private final PgDecoder decoder = new PgDecoder(false);
    private final Counters counters;
    private Keeper keeper;
    private Out out;
    private boolean welcomed;
    private Reach reach = Reach.NOT_CONNECTED;
    private Statement statement;
    private Consumer<AttemptEnd<PgAnswer>> end;
    private PgMessage.RowDescription columns;
    private PgMessage.DataRow row;
    private PgMessage.CommandComplete complete;
    private PgMessage.Report error;
    private Role role = Role.UNKNOWN;
    private double position = Double.NaN;

    ServerSession(Counters counters) { this.counters = counters; }

    @Override public void keeper(Keeper keeper) { this.keeper = keeper; }
    @Override public Reach reach() { return reach; }
    @Override public boolean reusable() { return reach == Reach.ANSWERED; }

    @Override public void opened(Out out) {
        this.out = out;
        out.write(STARTUP);
    }

    @Override public void carry(Statement statement, double left, Consumer<AttemptEnd<PgAnswer>> end) {
        this.statement = statement;
        this.end = end;
        columns = null;
        row = null;
        complete = null;
        error = null;
        role = Role.UNKNOWN;
        position = Double.NaN;
        reach = Reach.PARTLY_WRITTEN;
        byte[] bytes = new PgEncoder().add(new PgMessage.Query(statement.withTimeLeft(left))).bytes();
        out.write(bytes, bytes.length, () -> reach = reach == Reach.PARTLY_WRITTEN ? Reach.WHOLLY_WRITTEN : reach);
    }

    @Override public void received(ByteBuffer in) {
        decoder.feed(in);
        try {
            for (PgMessage m = decoder.next(); m != null; m = decoder.next()) {
                on(m);
            }
        } catch (PgDecoder.Malformed e) {
            counters.add("server_malformed");
            out.close();
            keeper.gone("malformed: " + e.getMessage());
        }
    }

    private void on(PgMessage m) {
        if (m instanceof PgMessage.ParameterStatus p) {
            note(p);
        } else if (m instanceof PgMessage.RowDescription d) {
            columns = d;
        } else if (m instanceof PgMessage.DataRow d) {
            row = d;
        } else if (m instanceof PgMessage.CommandComplete c) {
            complete = c;
        } else if (m instanceof PgMessage.Report r && !r.notice()) {
            error = r;
            if (!welcomed && r.code().equals("53300")) {
                // Too many connections: said before anything was asked, so nothing was written.
                out.close();
                keeper.gone("not welcome: " + r.message());
            }
        } else if (m instanceof PgMessage.ReadyForQuery) {
            if (!welcomed) {
                welcomed = true;
                keeper.ready();
            } else if (end != null) {
                over();
            }
        }
    }

    private void note(PgMessage.ParameterStatus p) {
        if (p.name().equals("role")) {
            role = p.value().equals("primary") ? Role.PRIMARY : p.value().equals("replica") ? Role.REPLICA : Role.UNKNOWN;
        } else if (p.name().equals("applied_ms")) {
            try {
                position = Double.parseDouble(p.value());
            } catch (NumberFormatException e) {
                counters.add("server_malformed");
            }
        }
    }

    /** ReadyForQuery ends the request, and with it the notes that came before. */
    private void over() {
        Consumer<AttemptEnd<PgAnswer>> told = end;
        AttemptEnd<PgAnswer> how = how();
        end = null;
        reach = Reach.ANSWERED;
        told.accept(how);
    }

    private AttemptEnd<PgAnswer> how() {
        var note = new Note(role, position);
        if (error != null) {
            return switch (error.code()) {
                case "25006", "72000" -> new AttemptEnd.Missed<>(note);
                case "53300", "57P03" -> new AttemptEnd.TurnedAway<>(note);
                default -> {
                    counters.add("server_error_" + error.code());
                    yield new AttemptEnd.Erred<>(note, error.code() + " " + error.message());
                }
            };
        }
        if (row == null || complete == null || columns == null) {
            counters.add("server_malformed");
            return new AttemptEnd.Erred<>(note, "no row came");
        }
        if (statement.sql().equals(Statement.LOAD)) {
            note = LoadReport.read(row);
        }
        return new AttemptEnd.Served<>(new PgAnswer(columns, row, complete), note);
    }

    /** An error that ends the connection needs no ReadyForQuery: what it says still counts. */
    @Override public void ended(String why) {
        if (end != null && error != null) {
            Consumer<AttemptEnd<PgAnswer>> told = end;
            AttemptEnd<PgAnswer> how = how();
            end = null;
            told.accept(how);
        }
        keeper.gone(why);
    }

    /** The report that a probe brings: {@code x0=1767225600.123,x1=1}, a position in Unix seconds and a role. */
    static final class LoadReport {
        private LoadReport() { }

        static Note read(PgMessage.DataRow row) {
            double position = Double.NaN;
            Role role = Role.UNKNOWN;
            for (byte[] value : row.values()) {
                for (String part : value == null ? new String[0]
                        : new String(value, StandardCharsets.UTF_8).split("[,{}\\s\"]+")) {
                    String[] pair = part.split("[=:]", 2);
                    try {
                        if (pair[0].equals("x0")) {
                            position = 1000 * Double.parseDouble(pair[1]);
                        } else if (pair[0].equals("x1")) {
                            role = Double.parseDouble(pair[1]) >= 0.5 ? Role.PRIMARY : Role.REPLICA;
                        }
                    } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
                        return Note.NONE;
                    }
                }
            }
            return new Note(role, position);
        }
    }
}
