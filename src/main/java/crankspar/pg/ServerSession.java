package crankspar.pg;

import crankspar.Router.Role;
import crankspar.core.AttemptEnd;
import crankspar.core.AttemptEnd.MemberReport;
import crankspar.core.AttemptProgress;
import crankspar.core.Counters;
import crankspar.core.Ports;
import crankspar.net.Connection;
import crankspar.net.MemoryBudget;
import crankspar.net.MemoryBudget.Use;
import crankspar.net.ServerConnectionHandler;
import crankspar.net.StreamedValue;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.function.BooleanSupplier;

/**
 * The pooler's side of a connection to a server. The first request waits for the server's welcome:
 * what has not been welcomed has not been written, so that a write caught by a hang can still be
 * proved unsent.
 *
 * <p>An answer is the exact sequence of columns, one row, its completion and ReadyForQuery, or an
 * error and ReadyForQuery, with notes between them. Guards against spoilt answers: anything else
 * may have run, is served to nobody, its notes count for nothing, and its connection is of no more
 * use.
 */
final class ServerSession
    implements ServerConnectionHandler<Statement, PgAnswer>, MemoryBudget.Holder {
  private enum Phase {
    DIALLED,
    WELCOMING,
    IDLE,
    SETTLING,
    SETTLED,
    ASKED,
    COLUMNS,
    LONG,
    ROW,
    COMPLETE,
    ERROR
  }

  private static final byte[] STARTUP;

  static {
    var parameters = new LinkedHashMap<String, String>();
    parameters.put("user", "client");
    parameters.put("database", "core");
    STARTUP = new PgEncoder().add(new PgMessage.Startup(parameters)).bytes();
  }

  /**
   * An empty query: answered at once, with no effect, and after all that the server had yet to say.
   */
  private static final byte[] SETTLE = new PgEncoder().add(new PgMessage.Query("")).bytes();

  private final PgDecoder decoder = new PgDecoder(false);
  private final Counters counters;
  private final MemoryBudget.Share memory;
  private Owner owner;
  private Connection out;
  private Phase phase = Phase.DIALLED;
  private AttemptProgress reach = AttemptProgress.NOT_CONNECTED;
  private Statement statement;
  private Ports.AttemptListener<PgAnswer> listener;
  private PgMessage.RowDescription columns;
  private PgMessage.DataRow row;
  private StreamedValue passage;
  private int left;
  private PgMessage.CommandComplete complete;
  private PgMessage.Report error;
  private Role role = Role.UNKNOWN;
  private double position = Double.NaN;

  ServerSession(Counters counters, MemoryBudget budget) {
    this.counters = counters;
    memory = budget.open(this);
  }

  @Override
  public void owner(Owner owner) {
    this.owner = owner;
  }

  @Override
  public AttemptProgress reach() {
    return reach;
  }

  @Override
  public boolean reusable() {
    return phase == Phase.IDLE && decoder.empty();
  }

  @Override
  public void opened(Connection out) {
    this.out = out;
    out.write(STARTUP);
  }

  @Override
  public byte[] encode(Statement statement, double left) {
    return PgEncoder.query(statement.withTimeLeft(left));
  }

  @Override
  public boolean carry(
      Statement statement,
      byte[] encoded,
      BooleanSupplier current,
      Ports.AttemptListener<PgAnswer> listener) {
    AttemptProgress before = reach;
    this.statement = statement;
    this.listener = listener;
    phase = Phase.ASKED;
    role = Role.UNKNOWN;
    position = Double.NaN;
    reach = AttemptProgress.PARTLY_WRITTEN;
    if (out.writeIf(current, encoded, this::whollyWritten)) {
      return true;
    }
    this.statement = null;
    this.listener = null;
    phase = Phase.IDLE;
    reach = before;
    return false;
  }

  private void whollyWritten() {
    if (reach == AttemptProgress.PARTLY_WRITTEN) {
      reach = AttemptProgress.WHOLLY_WRITTEN;
      listener.written();
    }
  }

  /**
   * The answer to an empty query comes behind whatever the server says of itself after an answer; a
   * wait for it would only be a guess of how long that takes (measured: a copy 20 ms late on a busy
   * machine).
   */
  @Override
  public void settle() {
    phase = Phase.SETTLING;
    out.write(SETTLE);
  }

  @Override
  public void received(ByteBuffer in) {
    decoder.feed(in);
    try {
      PgMessage m = null;
      while (phase != Phase.IDLE && (m = decoder.next()) != null) {
        on(m);
      }
    } catch (PgDecoder.Malformed e) {
      counters.add(listener == null ? "server_unasked_bytes" : "server_malformed");
      out.close();
      owner.gone("malformed: " + e.getMessage());
      return;
    }
    if (phase == Phase.IDLE && !decoder.empty()) {
      // A second copy, say: it must not be taken for the answer to the next request.
      counters.add("server_unasked_bytes");
      out.close();
      owner.gone("bytes that nothing asked for");
    } else if (!memory.set(Use.SERVER, decoder.memory())) {
      shed();
    }
  }

  /** Others need the memory: what it carries ends as with a connection that breaks. */
  @Override
  public void shed() {
    counters.add("server_connections_shed");
    out.close();
    owner.gone("no room for its answer");
  }

  @Override
  public void closed() {
    memory.close();
  }

  private void on(PgMessage m) throws PgDecoder.Malformed {
    if (m instanceof PgMessage.ParameterStatus p) {
      note(p);
    } else if (m instanceof PgMessage.Report r && r.notice()) {
      return;
    } else if (phase == Phase.DIALLED && m instanceof PgMessage.AuthenticationOk) {
      phase = Phase.WELCOMING;
    } else if (phase == Phase.WELCOMING && m instanceof PgMessage.BackendKeyData) {
      return;
    } else if (phase == Phase.WELCOMING
        && m instanceof PgMessage.ReadyForQuery
        && decoder.empty()) {
      phase = Phase.IDLE;
      owner.ready();
    } else if (phase.compareTo(Phase.IDLE) < 0 && m instanceof PgMessage.Report r) {
      // Too many connections, say: told before anything was asked, so nothing was written.
      out.close();
      owner.gone("not welcome: " + r.code() + " " + r.message());
    } else if (phase == Phase.SETTLING && m instanceof PgMessage.EmptyQueryResponse) {
      phase = Phase.SETTLED;
    } else if (phase == Phase.SETTLED && m instanceof PgMessage.ReadyForQuery && decoder.empty()) {
      phase = Phase.IDLE;
      owner.ready();
    } else if (phase == Phase.ASKED
        && m instanceof PgMessage.RowDescription d
        && d.columns() == 1) {
      columns = d;
      phase = Phase.COLUMNS;
    } else if (phase == Phase.COLUMNS && m instanceof PgMessage.DataRow d) {
      row = d;
      phase = Phase.ROW;
    } else if (phase == Phase.COLUMNS
        && m instanceof PgMessage.LongRow d
        && !statement.sql().equals(Statement.LOAD)) {
      begin(d);
    } else if (phase == Phase.LONG && m instanceof PgMessage.Part p) {
      left -= p.bytes().length;
      phase = left == 0 ? Phase.ROW : Phase.LONG;
      passage.pass(p.bytes());
    } else if (phase == Phase.ROW && m instanceof PgMessage.CommandComplete c) {
      complete = c;
      phase = Phase.COMPLETE;
    } else if (phase == Phase.ASKED && m instanceof PgMessage.Report r) {
      error = r;
      phase = Phase.ERROR;
    } else if ((phase == Phase.COMPLETE || phase == Phase.ERROR)
        && m instanceof PgMessage.ReadyForQuery) {
      over();
    } else {
      throw new PgDecoder.Malformed(m.getClass().getSimpleName() + " out of turn, in " + phase);
    }
  }

  /** The row's head is here: its answer has begun, for whoever still waits for it. */
  private void begin(PgMessage.LongRow d) throws PgDecoder.Malformed {
    phase = Phase.LONG;
    row = null;
    left = d.size();
    passage = new StreamedValue(out);
    if (!listener.answerBegan(PgAnswer.begun(columns, d.size(), passage))) {
      throw new PgDecoder.Malformed("a long answer that nobody waits for");
    }
  }

  private void note(PgMessage.ParameterStatus p) {
    if (p.name().equals("role")) {
      role =
          p.value().equals("primary")
              ? Role.PRIMARY
              : p.value().equals("replica") ? Role.REPLICA : Role.UNKNOWN;
    } else if (p.name().equals("applied_ms")) {
      position = number(p.value());
    }
  }

  /**
   * A plain decimal number, or NaN: no sign, no exponent, none of the other things that Java would
   * read.
   */
  private double number(String text) {
    if (text.length() <= 24 && text.matches("[0-9]+(\\.[0-9]*)?")) {
      return Double.parseDouble(text);
    }
    counters.add("server_unread_notes");
    return Double.NaN;
  }

  /**
   * ReadyForQuery, or the connection's end after an error, ends the request, and with it its notes.
   */
  private void over() {
    Ports.AttemptListener<PgAnswer> told = listener;
    AttemptEnd<PgAnswer> how = how();
    listener = null;
    phase = Phase.IDLE;
    reach = AttemptProgress.ANSWERED;
    told.ended(how);
  }

  private AttemptEnd<PgAnswer> how() {
    var note = new MemberReport(role, position);
    if (phase == Phase.ERROR) {
      return switch (error.code()) {
        case "25006", "72000" -> new AttemptEnd.Missed<>(note);
        case "53300", "57P03" -> new AttemptEnd.TurnedAway<>(note);
        default -> {
          counters.add(
              "server_error_" + (error.code().matches("[0-9A-Z]{5}") ? error.code() : "other"));
          yield new AttemptEnd.Erred<>(note, error.code() + " " + error.message());
        }
      };
    }
    if (statement.sql().equals(Statement.LOAD)) {
      note = report();
    }
    return new AttemptEnd.Served<>(new PgAnswer(columns, row, complete), note);
  }

  /** An error that ends the connection needs no ReadyForQuery: what it says still counts. */
  @Override
  public void ended(String why) {
    if (phase == Phase.ERROR && decoder.empty()) {
      over();
    }
    owner.gone(why);
  }

  /**
   * The report that a probe brings: {@code x0=1767225600.123,x1=1}, a position in Unix seconds and
   * a role. One that cannot be read whole tells nothing.
   */
  private MemberReport report() {
    double at = Double.NaN;
    double primary = Double.NaN;
    byte[] value = row.values().get(0);
    for (String part :
        value == null || value.length > 1024
            ? new String[0]
            : new String(value, StandardCharsets.UTF_8).split("[,{}\\s\"]+")) {
      String[] pair = part.split("[=:]", 2);
      if (pair.length == 2 && pair[0].equals("x0")) {
        at = 1000 * number(pair[1]);
      } else if (pair.length == 2 && pair[0].equals("x1")) {
        primary = number(pair[1]);
      }
    }
    return Double.isNaN(at) || primary != 0 && primary != 1
        ? MemberReport.NONE
        : new MemberReport(primary == 1 ? Role.PRIMARY : Role.REPLICA, at);
  }
}
