import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for one shard of league databases: the first port is the primary's, the others are
 * replicas'. It keeps what a PostgreSQL session keeps (options, role, temporary tables, advisory
 * locks), replays the primary's log at the replicas, and tells role and position as the protocol
 * page says. A control connection can slow the replay down.
 */
public final class LeagueDb {
  /** How old a replica's data is while its replay keeps up (ms). */
  private static final long SHIP_MS = 12;

  /** How long a database works on a statement (ms), as the small deployment's classes do. */
  private static final int WORK_MS = 30;

  private static final int REPORT_MS = 700;

  /** How long it takes to drop one temporary table (ms). */
  private static final int DROP_TABLE_MS = 60;

  /** From a cancel's arrival to its signal (ms): a process is forked for it. */
  private static final int CANCEL_MS = 15;

  private record Version(long commit, String value) {}

  /** What a statement ends with: rows and tag, or an error. */
  private record Result(String value, String tag, String code, String message) {
    static Result row(String value, String tag) {
      return new Result(value, tag, null, null);
    }

    static Result done(String tag) {
      return new Result(null, tag, null, null);
    }

    static Result error(String code, String message) {
      return new Result(null, null, code, message);
    }
  }

  private static final class Canceled extends Exception {}

  private final Map<String, List<Version>> state = new HashMap<>();
  private final Map<Long, Session> lockHolders = new HashMap<>();
  private final Map<Integer, Session> sessions = new ConcurrentHashMap<>();
  private final AtomicInteger processes = new AtomicInteger(1000);
  private long lastCommit;
  private volatile long slowFrom = Long.MAX_VALUE;
  private volatile long slowUntil;
  private volatile double slowFactor = 1;

  public static void main(String[] args) throws IOException {
    var shard = new LeagueDb();
    for (int i = 0; i < args.length; i++) {
      boolean primary = i == 0;
      var server =
          new ServerSocket(Integer.parseInt(args[i]), 200, InetAddress.getLoopbackAddress());
      var thread =
          new Thread(
              () -> {
                while (true) {
                  try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    new Thread(() -> shard.serve(socket, primary)).start();
                  } catch (IOException e) {
                    System.out.println("accept: " + e);
                  }
                }
              });
      thread.start();
    }
    System.out.println("serves");
  }

  private void serve(Socket socket, boolean primary) {
    try (socket) {
      var in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      var body = new byte[in.readInt() - 4];
      in.readFully(body);
      var head = java.nio.ByteBuffer.wrap(body);
      if (head.getInt() == Wire.CANCEL) {
        cancel(head.getInt(), head.getInt());
        return;
      }
      var parameters = new LinkedHashMap<String, String>();
      String[] texts = new String(body, 4, body.length - 4).split("\0", -1);
      for (int i = 0; i + 1 < texts.length && !texts[i].isEmpty(); i += 2) {
        parameters.put(texts[i], texts[i + 1]);
      }
      new Session(socket, in, primary, parameters.getOrDefault("user", "")).run();
    } catch (IOException | InterruptedException e) {
      // its peer has gone
    }
  }

  private void cancel(int process, int secret) throws InterruptedException {
    Thread.sleep(CANCEL_MS);
    Session session = sessions.get(process);
    if (session != null && session.secret == secret) {
      session.cancelNow();
    }
  }

  /** The position that a member has applied (Unix ms). */
  private long position(boolean primary) {
    long now = System.currentTimeMillis();
    if (primary) {
      return now;
    }
    long applied = now - SHIP_MS;
    if (now <= slowFrom) {
      return applied;
    }
    // From the start of the trouble on, the log is applied more slowly; after its end it is caught
    // up with at the usual speed, which is twice the log's own.
    double replayed = (Math.min(now, slowUntil) - slowFrom) * Math.min(1, 2 / slowFactor);
    replayed += Math.max(0, now - slowUntil) * 2;
    return Math.min(applied, slowFrom - SHIP_MS + (long) replayed);
  }

  private synchronized long write(String key, String value) {
    lastCommit = Math.max(lastCommit + 1, System.currentTimeMillis());
    state.computeIfAbsent(key, k -> new ArrayList<>()).add(new Version(lastCommit, value));
    return lastCommit;
  }

  private synchronized String read(String key, long position) {
    String found = "none";
    for (Version version : state.getOrDefault(key, List.of())) {
      found = version.commit() <= position ? version.value() : found;
    }
    return found;
  }

  /** One connection: what PostgreSQL keeps for a session. */
  private final class Session {
    private static final Pattern LOCK =
        Pattern.compile("pg_(try_)?advisory_(unlock|lock)\\((\\d+)\\)");
    private static final Pattern CLAIM =
        Pattern.compile("SELECT claim_trade\\('([^']*)', *'([^']*)'\\)");
    private static final Pattern INSERT =
        Pattern.compile("INSERT INTO state \\(uid, val\\) VALUES \\('([^']*)', *'([^']*)'\\).*");
    private static final Pattern READ = Pattern.compile("SELECT val FROM state WHERE uid = '(.*)'");
    private static final Pattern CREATE_TEMP =
        Pattern.compile("CREATE TEMP TABLE (\\w+) AS SELECT '([^']*)' AS val");
    private static final Pattern READ_TABLE = Pattern.compile("SELECT val FROM (\\w+)");
    private static final Pattern SET_ROLE = Pattern.compile("SET ROLE (?:TO )?'?(\\w+)'?");
    private static final Pattern COMMENT = Pattern.compile("^\\s*/\\*(.*?)\\*/", Pattern.DOTALL);

    private final Socket socket;
    private final DataInputStream in;
    private final BufferedOutputStream out;
    private final boolean primary;
    private final String user;
    private final int process = processes.incrementAndGet();
    private final int secret = ThreadLocalRandom.current().nextInt();
    private final Map<String, String> temporary = new LinkedHashMap<>();
    private final Map<Long, Integer> locks = new HashMap<>();
    private String role;
    private char status = 'I';
    private long written;
    private boolean busy;
    private boolean canceled;

    Session(Socket socket, DataInputStream in, boolean primary, String user) throws IOException {
      this.socket = socket;
      this.in = in;
      this.primary = primary;
      this.user = user;
      out = new BufferedOutputStream(socket.getOutputStream());
    }

    void run() throws IOException, InterruptedException {
      sessions.put(process, this);
      try {
        out.write(new Wire.Body().int32(0).as('R'));
        out.write(Wire.parameter("server_version", "14.0"));
        out.write(Wire.parameter("client_encoding", "UTF8"));
        out.write(Wire.parameter("standard_conforming_strings", "on"));
        out.write(new Wire.Body().int32(process).int32(secret).as('K'));
        out.write(Wire.ready(status));
        out.flush();
        for (Wire.Message m = Wire.read(in); m.type() != 'X'; m = Wire.read(in)) {
          if (m.type() != 'Q') {
            throw new IOException("only simple queries are spoken here, not " + m.type());
          }
          query(new String(m.body(), 0, m.body().length - 1, "UTF-8"));
        }
      } finally {
        sessions.remove(process);
        releaseLocks();
      }
    }

    private void query(String sql) throws IOException, InterruptedException {
      written = 0;
      var answer = new ByteArrayOutputStream();
      Matcher comment = COMMENT.matcher(sql.length() > 4096 ? sql.substring(0, 4096) : sql);
      String bare = comment.find() ? sql.substring(comment.end()) : sql;
      bare = sql.length() > 4096 ? sql.substring(sql.indexOf("*/") + 2) : bare;
      begin();
      if (bare.isBlank()) {
        answer.writeBytes(new Wire.Body().as('I'));
      }
      for (String one : bare.split(";")) {
        if (one.isBlank()) {
          continue;
        }
        Result result;
        try {
          result = execute(one.strip(), sql.contains("c=report") ? REPORT_MS : WORK_MS);
        } catch (Canceled e) {
          result = Result.error("57014", "canceling statement due to user request");
        }
        log(one.strip(), result);
        if (result.code() != null) {
          answer.writeBytes(Wire.error(result.code(), result.message()));
          status = status == 'I' ? 'I' : 'E';
          break;
        }
        if (result.value() != null) {
          answer.writeBytes(Wire.row("val", result.value()));
        }
        answer.writeBytes(Wire.complete(result.tag()));
      }
      end();
      out.write(answer.toByteArray());
      out.write(Wire.parameter("role", primary ? "primary" : "replica"));
      long applied = written > 0 ? written : position(primary);
      out.write(Wire.parameter("applied_ms", Long.toString(applied)));
      out.write(Wire.ready(status));
      out.flush();
    }

    private void log(String sql, Result result) {
      if (sql.startsWith("SHOW load") || sql.length() > 300) {
        return;
      }
      String how =
          result.code() != null
              ? "error " + result.code()
              : result.value() != null ? result.value() : result.tag();
      System.out.println(
          "%d %s connection %d: %s -> %s"
              .formatted(
                  System.currentTimeMillis(),
                  primary ? "primary" : "replica " + socket.getLocalPort(),
                  process,
                  sql,
                  how));
    }

    private Result execute(String sql, int workMs) throws Canceled, InterruptedException {
      Matcher m;
      if (sql.equals("SHOW load")) {
        String seconds = "%.3f".formatted(position(primary) / 1000.0).replace(',', '.');
        return Result.row("x0=" + seconds + ",x1=" + (primary ? 1 : 0), "SHOW");
      } else if ((m = Pattern.compile("CONTROL slow (\\d+) (\\d+)").matcher(sql)).matches()) {
        slowFactor = Double.parseDouble(m.group(1));
        slowUntil = System.currentTimeMillis() + Long.parseLong(m.group(2));
        slowFrom = System.currentTimeMillis();
        return Result.done("CONTROL");
      } else if (sql.equals("BEGIN")) {
        status = 'T';
        return Result.done("BEGIN");
      } else if (sql.equals("COMMIT") || sql.equals("ROLLBACK")) {
        String tag = status == 'E' ? "ROLLBACK" : sql;
        status = 'I';
        return Result.done(tag);
      } else if (sql.equals("DISCARD ALL")) {
        discardAll();
        return Result.done("DISCARD ALL");
      } else if ((m = SET_ROLE.matcher(sql.replace("role TO", "ROLE TO"))).matches()) {
        role = m.group(1);
        return Result.done("SET");
      } else if (sql.equalsIgnoreCase("RESET ROLE")) {
        role = null;
        return Result.done("RESET");
      } else if (sql.equals("RESET ALL") || sql.startsWith("SET ") || sql.startsWith("RESET ")) {
        return Result.done(sql.startsWith("SET") ? "SET" : "RESET"); // the role is not among ALL
      } else if (sql.equals("SELECT lineup FROM my_roster")) {
        work(workMs);
        return Result.row("lineup of " + (role == null ? user : role), "SELECT 1");
      } else if (LOCK.matcher(sql).find()) {
        return Result.row(lockCalls(sql), "SELECT 1");
      } else if ((m = CREATE_TEMP.matcher(sql)).matches()) {
        if (temporary.containsKey(m.group(1))) {
          return Result.error("42P07", "relation \"" + m.group(1) + "\" already exists");
        }
        temporary.put(m.group(1), m.group(2));
        return Result.done("SELECT 1");
      } else if ((m = CLAIM.matcher(sql)).matches() || (m = INSERT.matcher(sql)).matches()) {
        if (!primary) {
          return Result.error("25006", "cannot execute this in a read-only transaction");
        }
        work(workMs);
        written = write(m.group(1), m.group(2));
        return Result.row(m.group(2), sql.startsWith("INSERT") ? "INSERT 0 1" : "SELECT 1");
      } else if ((m = READ.matcher(sql)).matches()) {
        long seen = position(primary);
        work(workMs);
        return Result.row(read(m.group(1), seen), "SELECT 1");
      } else if ((m = READ_TABLE.matcher(sql)).matches()) {
        return temporary.containsKey(m.group(1))
            ? Result.row(temporary.get(m.group(1)), "SELECT 1")
            : Result.error("42P01", "relation \"" + m.group(1) + "\" does not exist");
      } else if (sql.startsWith("SELECT ")) {
        work(workMs);
        return Result.row("1", "SELECT 1");
      }
      return Result.error("42601", "syntax error");
    }

    // ---- Advisory locks: held by a session as often as it has taken them.
    private String lockCalls(String sql) throws Canceled, InterruptedException {
      var results = new ArrayList<String>();
      Matcher call = LOCK.matcher(sql);
      while (call.find()) {
        long key = Long.parseLong(call.group(3));
        boolean tries = call.group(1) != null;
        boolean ok = call.group(2).equals("unlock") ? unlock(key) : lock(key, !tries);
        results.add(call.group(2).equals("unlock") || tries ? ok ? "t" : "f" : "");
      }
      return String.join(",", results);
    }

    private boolean lock(long key, boolean waits) throws Canceled, InterruptedException {
      synchronized (LeagueDb.this) {
        while (lockHolders.containsKey(key) && lockHolders.get(key) != this) {
          if (!waits) {
            return false;
          }
          LeagueDb.this.wait(10);
          throwIfCanceled();
        }
        lockHolders.put(key, this);
        locks.merge(key, 1, Integer::sum);
        return true;
      }
    }

    private boolean unlock(long key) {
      synchronized (LeagueDb.this) {
        if (!locks.containsKey(key)) {
          return false;
        }
        if (locks.merge(key, -1, Integer::sum) == 0) {
          locks.remove(key);
          lockHolders.remove(key);
          LeagueDb.this.notifyAll();
        }
        return true;
      }
    }

    private void releaseLocks() {
      synchronized (LeagueDb.this) {
        locks.keySet().forEach(lockHolders::remove);
        locks.clear();
        LeagueDb.this.notifyAll();
      }
    }

    /**
     * Drops what the session has. A cancel that comes meanwhile rolls it back, but for the locks,
     * which know no transaction.
     */
    private void discardAll() throws Canceled, InterruptedException {
      releaseLocks();
      work(temporary.size() * DROP_TABLE_MS);
      temporary.clear();
      role = null;
    }

    // ---- Work that a cancel ends; one that finds the session idle does nothing.
    private void work(int ms) throws Canceled, InterruptedException {
      long until = System.nanoTime() + ms * 1_000_000L;
      while (System.nanoTime() < until) {
        throwIfCanceled();
        Thread.sleep(2);
      }
      throwIfCanceled();
    }

    private synchronized void begin() {
      busy = true;
      canceled = false;
    }

    private synchronized void end() {
      busy = false;
    }

    private synchronized void throwIfCanceled() throws Canceled {
      if (canceled) {
        canceled = false;
        throw new Canceled();
      }
    }

    private synchronized void cancelNow() {
      System.out.println(
          "%d cancel for connection %d, which is %s"
              .formatted(System.currentTimeMillis(), process, busy ? "busy" : "idle"));
      canceled = busy;
    }
  }
}
