package crankspar.lab;

import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.pooling.Frame;
import crankspar.pooling.FrameDecoder;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One connection of the stand-in: its messages, in order, and what a test's fault does to them. The
 * session's statements, its transaction and how it runs are classes of their own.
 */
final class PgBackend implements ConnectionHandler {
  /** The head of a message: its type and its length. */
  private static final int HEAD_BYTES = 5;

  /** Answers beyond this are sent before the client asks for them. */
  private static final int BUFFER_BYTES = 8 * 1024;

  final PgServer server;
  final int connection;
  final Settings settings = new Settings();
  final PgStatements statements;
  final PgTransaction transaction;
  private final PgExecution execution;
  private final PgExtended extended;
  private final FrameDecoder decoder = new FrameDecoder(true);
  private final int secret = new Random().nextInt();
  private final ArrayDeque<Frame> waiting = new ArrayDeque<>();

  /** The values of reported settings that its client knows. */
  private final Map<String, String> told = new HashMap<>();

  private final List<Frame> out = new ArrayList<>();
  private int outBytes;
  private Connection wire;
  private String user = "";
  private boolean started;

  /** After an error of the extended protocol: nothing is taken up to the sync. */
  private boolean skipping;

  private boolean stalled;
  private boolean closed;

  PgBackend(PgServer server, int connection) {
    this.server = server;
    this.connection = connection;
    statements = new PgStatements(server, settings);
    transaction = new PgTransaction(server, settings);
    execution = new PgExecution(this, server);
    extended = new PgExtended(this);
  }

  @Override
  public void opened(Connection out) {
    wire = out;
  }

  @Override
  public void received(ByteBuffer in) {
    if (stalled) {
      in.position(in.limit());
      return;
    }
    decoder.feed(in);
    try {
      for (Frame f = decoder.next(); f != null && !closed; f = decoder.next()) {
        waiting.add(f);
      }
      boolean begun = decoder.bufferedBytes() >= HEAD_BYTES && started;
      int most = begun ? server.fault.bytes(connection, decoder.headType()) : 0;
      if (most > 0 && decoder.bufferedBytes() >= most) {
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
    while (!execution.busy() && alive() && !waiting.isEmpty()) {
      Frame f = waiting.poll();
      if (started && server.fault.bytes(connection, f.type()) > 0) {
        server.fault.cut();
        cut("cut in a message");
        return;
      }
      on(f);
    }
    if (!execution.busy()) {
      flush();
    }
  }

  /** A statement's work is done: what has come meanwhile is taken. */
  void resumed() {
    try {
      goOn();
    } catch (Frame.Malformed e) {
      cut("malformed");
    }
  }

  void say(Frame f) {
    out.add(f);
    outBytes += f.size();
    if (outBytes > BUFFER_BYTES) {
      flush();
    }
  }

  void flush() {
    if (!out.isEmpty() && alive()) {
      byte[] bytes = Frame.join(out);
      out.clear();
      outBytes = 0;
      wire.write(bytes);
    }
  }

  /** Whether anything that it says is still sent. */
  boolean alive() {
    return !closed && !stalled;
  }

  boolean isClosed() {
    return closed;
  }

  String user() {
    return user;
  }

  /** Whether it goes on: false where the fault has ended or stalled this connection. */
  boolean goes(Fault.Act act) {
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
      case NONE -> {}
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
      server.recording.add(
          new Recording.Ended(server.name, connection, why, decoder.bufferedBytes()));
      server.backends.remove(connection);
      server.unlisten(this, null);
      transaction.end(false);
    }
  }

  @Override
  public void ended(String why) {
    over(why);
  }

  @Override
  public void closed() {
    over("closed");
  }

  // ---- Messages.
  private void on(Frame f) throws Frame.Malformed {
    if (!started) {
      first(f);
      return;
    }
    String text = text(f);
    if (!goes(server.fault.received(connection, f.type(), text))) {
      return;
    }
    if (skipping && f.type() != 'S' && f.type() != 'X') {
      return;
    }
    try {
      take(f, text);
    } catch (PgFailed e) {
      fail(e);
      if (f.type() == 'Q') {
        ready();
      } else {
        skipping = true;
      }
    }
  }

  /** The statement that a message brings, for a fault to choose by. */
  private static String text(Frame f) throws Frame.Malformed {
    if (f.type() != 'Q' && f.type() != 'P') {
      return "";
    }
    Frame.Reader r = f.read();
    if (f.type() == 'P') {
      r.text();
    }
    return r.text();
  }

  private void take(Frame f, String text) throws Frame.Malformed, PgFailed {
    switch (f.type()) {
      case 'Q' -> {
        statements.closeUnnamed();
        execution.query(text);
      }
      case 'P' -> extended.parse(f);
      case 'B' -> extended.bind(f);
      case 'D' -> extended.describe(f);
      case 'E' -> extended.execute(f, execution);
      case 'C' -> extended.close(f);
      case 'S' -> {
        if (!execution.takesCopyData()) { // else it is ignored
          skipping = false;
          ready();
        }
      }
      case 'H' -> flush();
      case 'd', Frame.PART -> execution.copyData(f);
      case 'c', 'f' -> execution.copied(f.type() == 'c');
      case 'X' -> {
        wire.close();
        over("terminated");
      }
      default -> throw new PgFailed("08P01", "message type " + f.type());
    }
  }

  // ---- The start.
  private void first(Frame f) throws Frame.Malformed {
    Frame.Reader r = f.read();
    if (f.type() == Frame.ENCRYPTION) {
      wire.write(new byte[] {'N'});
      return;
    }
    r.int32();
    if (f.type() == Frame.CANCEL) {
      cancel(r.int32(), r.int32());
    } else {
      start(r);
    }
  }

  private void cancel(int process, int key) {
    PgBackend target = server.backends.get(process);
    if (target != null && target.secret == key) {
      server.recording.add(new Recording.Cancel(server.name, process, target.execution.running()));
      target.execution.cancel();
    }
    wire.finish();
  }

  private void start(Frame.Reader r) throws Frame.Malformed {
    var parameters = new LinkedHashMap<String, String>();
    for (String n = r.text(); !n.isEmpty(); n = r.text()) {
      parameters.put(n, r.text());
    }
    user = parameters.getOrDefault("user", "");
    String database = parameters.getOrDefault("database", "");
    if (server.backends.size() >= server.connectionsMost) {
      refuse("53300", "sorry, too many clients already");
      return;
    }
    if (database.startsWith("no_")) {
      refuse("3D000", "database \"" + database + "\" does not exist");
      return;
    }
    parameters.forEach(this::setAtStart);
    settings.commit();
    started = true;
    server.backends.put(connection, this);
    welcome();
  }

  private void refuse(String code, String message) {
    wire.write(Frame.error("FATAL", code, message, null).wire());
    wire.finish();
  }

  private void setAtStart(String given, String value) {
    String name = Settings.name(given);
    if (name != null) {
      settings.set(name, value, false);
    }
  }

  private void welcome() {
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

  // ---- Ready and errors.
  void ready() {
    transaction.endOfBatch();
    for (String name : Settings.REPORTED) {
      if (!settings.get(name).equals(told.put(name, settings.get(name)))) {
        say(Frame.parameter(name, settings.get(name)));
      }
    }
    notes();
    char status = transaction.status();
    if (goes(server.fault.answering(connection, 'Z', String.valueOf(status)))) {
      say(Frame.ready(status));
      flush();
    }
  }

  void fail(PgFailed e) {
    transaction.fail();
    execution.failed();
    say(Frame.error("ERROR", e.code, e.getMessage(), null));
  }

  void skipToSync() {
    skipToSync(true);
  }

  void skipToSync(boolean on) {
    skipping = on;
  }

  /** A notification from another session. */
  void notified(int process, String channel, String payload) {
    wire.write(Frame.body().int32(process).text(channel).text(payload).as('A').wire());
  }
}
