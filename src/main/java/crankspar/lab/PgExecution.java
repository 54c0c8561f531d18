package crankspar.lab;

import crankspar.pooling.Frame;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * How one session of the stand-in runs its statements: one at a time, each for as long as its
 * server's work takes, with their rows, and copies in both directions.
 */
final class PgExecution {
  private final PgBackend backend;
  private final PgServer server;
  private boolean simple;
  private boolean busy;

  /** The table of a COPY FROM STDIN that is under way, else null. */
  private String copying;

  private boolean copyExtended;
  private int copied;
  private String running;
  private Runnable stopRunning;

  /** What is left of a simple query. */
  private List<String> rest = List.of();

  PgExecution(PgBackend backend, PgServer server) {
    this.backend = backend;
    this.server = server;
  }

  /** A statement is at work: messages wait. */
  boolean busy() {
    return busy;
  }

  /** The statement at work, or null. */
  String running() {
    return running;
  }

  void cancel() {
    if (stopRunning != null) {
      Runnable stop = stopRunning;
      stopRunning = null;
      stop.run();
    }
  }

  /** A COPY FROM STDIN is under way. */
  boolean takesCopyData() {
    return copying != null;
  }

  /** An error ends a copy. */
  void failed() {
    copying = null;
  }

  // ---- Simple queries.
  void query(String text) throws PgFailed {
    simple = true;
    List<String> all = SqlText.split(text);
    if (all.isEmpty()) {
      backend.say(MiniSql.EMPTY);
      backend.ready();
      return;
    }
    rest = new ArrayList<>(all);
    next();
  }

  private void next() {
    while (!rest.isEmpty() && backend.alive()) {
      if (!runNext(rest.remove(0))) {
        return; // it goes on when the work, or the copy, is done
      }
    }
    if (backend.alive()) {
      backend.ready();
    }
  }

  /** Whether it is over; where it is not, the next one is begun behind it. */
  private boolean runNext(String sql) {
    boolean[] inline = {true, false};
    try {
      boolean prepares = SqlText.first(SqlText.bare(sql)).equals("PREPARE");
      String analysed = prepares ? sql : PgConstants.read(sql, backend.settings);
      var portal = new PgPortal(analysed, List.of());
      run(portal, () -> simpleRows(portal, inline));
    } catch (PgFailed e) {
      backend.fail(e);
      rest = List.of();
      return true;
    }
    inline[0] = false;
    return inline[1];
  }

  private void simpleRows(PgPortal portal, boolean[] inline) {
    if (!backend.alive()) {
      return;
    }
    if (portal.result != null && portal.result.columns() != null) {
      backend.say(portal.result.description());
    }
    inline[1] = rows(portal, 0, false);
    if (!inline[0] && inline[1]) {
      next();
    }
  }

  // ---- The extended protocol.
  void execute(PgPortal portal, int limit) throws PgFailed {
    simple = false;
    if (portal.result != null) {
      rows(portal, limit, true);
    } else {
      run(portal, () -> rows(portal, limit, true));
    }
  }

  // ---- Running.
  /** Runs a statement; {@code then} has its result, now or when its work is done. */
  private void run(PgPortal portal, Runnable then) throws PgFailed {
    String sql = SqlText.bare(portal.sql);
    backend.transaction.checkMayRun(sql);
    String shown = SqlText.filled(portal.sql, portal.parameters);
    long transaction = backend.transaction.number();
    if (!sql.isEmpty()) {
      record(transaction, shown);
    }
    double ms = SqlText.sleep(sql) + (SqlText.works(sql) ? server.work : 0);
    server.held(ms);
    if (ms <= 0 && !server.isStalled()) {
      portal.result = MiniSql.run(backend, portal.sql, portal.parameters);
      then.run();
    } else {
      work(portal, shown, ms, then);
    }
  }

  private void record(long transaction, String shown) {
    var executed =
        new Recording.Executed(
            server.name,
            backend.connection,
            backend.user(),
            transaction,
            shown,
            server.recording.whole ? backend.settings.set() : Map.of());
    server.recording.add(executed);
    backend.transaction.executed(executed);
  }

  private void work(PgPortal portal, String shown, double ms, Runnable then) {
    busy = true;
    running = shown;
    var over = new boolean[1];
    stopRunning =
        () -> {
          over[0] = true;
          resume(
              () -> {
                throw new PgFailed("57014", "canceling statement due to user request");
              },
              null);
        };
    server.work(
        ms,
        () -> {
          if (!over[0] && !backend.isClosed()) {
            over[0] = true;
            resume(() -> portal.result = MiniSql.run(backend, portal.sql, portal.parameters), then);
          }
        });
  }

  private interface Step {
    void go() throws PgFailed;
  }

  /** The work is done, or stopped: what is due now, and then what has come meanwhile. */
  private void resume(Step step, Runnable then) {
    busy = false;
    running = null;
    stopRunning = null;
    try {
      step.go();
      then.run();
    } catch (PgFailed e) {
      backend.fail(e);
      if (simple) {
        rest = List.of();
        backend.ready();
      } else {
        backend.skipToSync();
      }
    }
    backend.resumed();
  }

  /** Gives rows up to a limit; whether the statement is over, and no copy has begun. */
  private boolean rows(PgPortal portal, int limit, boolean extended) {
    SqlResult result = portal.result;
    if (result.copy() != null) {
      return copy(result, extended);
    }
    if (result.columns() != null) {
      for (int given = 1; portal.at < result.count(); given++) {
        backend.say(result.row(portal.at++));
        if (given == limit) { // the last row, too: that no other follows is seen by the next fetch
          backend.say(Frame.body().as('s'));
          return true;
        }
      }
    }
    if (backend.goes(
        server.fault.answering(backend.connection, extended ? 'E' : 'Q', result.tag()))) {
      backend.say(result.tag().isEmpty() ? MiniSql.EMPTY : Frame.complete(result.tag()));
    }
    return backend.alive();
  }

  // ---- Copies.
  private boolean copy(SqlResult result, boolean extended) {
    boolean in = result.copy().equals("in");
    backend.say(Frame.body().code((char) 0).int16(1).int16(0).as(in ? 'G' : 'H'));
    if (in) {
      copying = result.tag();
      copyExtended = extended;
      copied = 0;
      backend.flush();
      if (copying.endsWith("_view")) {
        backend.fail(new PgFailed("42809", "cannot copy to view \"" + copying + "\""));
        backend.skipToSync(extended);
        if (!extended) {
          rest = List.of();
          backend.ready();
        }
      }
      return extended;
    }
    for (int i = 0; i < result.count(); i++) {
      byte[] line = (result.text(i) + "\n").getBytes(StandardCharsets.UTF_8);
      backend.say(Frame.body().bytes(line).as('d'));
    }
    backend.say(Frame.body().as('c'));
    backend.say(Frame.complete("COPY " + result.count()));
    return true;
  }

  /** A message of the copy's data, or a part of one; a message counts once. */
  void copyData(Frame frame) {
    boolean begins = frame.whole() || frame.type() == Frame.PART;
    copied += copying == null || !begins ? 0 : 1;
  }

  void copied(boolean good) throws PgFailed {
    if (copying == null) {
      return;
    }
    copying = null;
    if (!good) {
      backend.fail(new PgFailed("57014", "COPY from stdin failed"));
      backend.skipToSync(copyExtended);
    } else {
      backend.say(Frame.complete("COPY " + copied));
    }
    if (copyExtended) {
      return;
    }
    if (good) {
      next();
    } else {
      rest = List.of();
      backend.ready();
    }
  }
}
