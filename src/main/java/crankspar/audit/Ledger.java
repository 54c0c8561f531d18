package crankspar.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What was sent under which stand: by stand and database the first and the last send and how many
 * by class, and the last requests one by one. It knows no clock and lives on the loop. On the path
 * of a request it allocates nothing but a row at the first send under a stand to a database.
 *
 * <p>Bounds: {@link #ROWS_MOST} rows, the oldest stand's go first and are counted; {@link #TOUCHES}
 * touches of requests and {@link #ENDS} refusals and failures, each a ring.
 */
public final class Ledger {
  /** What was sent to one database under one stand. */
  public static final class Row {
    public final int stand;
    public final String database;
    public final long[] byClass;
    public double first, last;

    public Row(int stand, String database, int classes) {
      this.stand = stand;
      this.database = database;
      byClass = new long[classes];
    }

    public long sends() {
      long n = 0;
      for (long c : byClass) {
        n += c;
      }
      return n;
    }
  }

  /** What a touch of a request was. */
  public enum Kind {
    SENT,
    SERVED,
    REFUSED,
    FAILED,
    /** Its client left before it was answered; what had been sent by then is there as sent. */
    FAILED_CLIENT_LEFT,
    /** It was read, and its client had left or cancelled it before it was taken. */
    FAILED_NOT_TAKEN
  }

  /** One send or one final answer. {@code database} is empty for an answer. */
  public record Touch(
      String request, int stand, Kind kind, String database, int requestClass, double at) {}

  static final int ROWS_MOST = 8192;
  static final int TOUCHES = 4096;
  static final int ENDS = 512;

  /** Fixed arrays in a ring, so that a touch costs no object. */
  private static final class Ring {
    final String[] request, database;
    final int[] stand, requestClass;
    final Kind[] kind;
    final double[] at;
    long n;

    Ring(int size) {
      request = new String[size];
      database = new String[size];
      stand = new int[size];
      requestClass = new int[size];
      kind = new Kind[size];
      at = new double[size];
    }

    void add(String r, int s, Kind k, String d, int c, double t) {
      int i = (int) (n++ % request.length);
      request[i] = r;
      stand[i] = s;
      kind[i] = k;
      database[i] = d;
      requestClass[i] = c;
      at[i] = t;
    }

    List<Touch> since(long place) {
      var all = new ArrayList<Touch>();
      for (long p = Math.max(Math.max(0, n - request.length), place); p < n; p++) {
        int i = (int) (p % request.length);
        all.add(new Touch(request[i], stand[i], kind[i], database[i], requestClass[i], at[i]));
      }
      return all;
    }
  }

  private final int classes;
  private final Map<String, Row> current = new HashMap<>();
  private final ArrayDeque<Row> rows = new ArrayDeque<>();
  private final Ring touches = new Ring(TOUCHES);
  private final Ring ends = new Ring(ENDS);
  private int stand = 1;
  private long dropped;

  public Ledger(int classes) {
    this.classes = classes;
  }

  /** From now on sends count under this stand. */
  public void stand(int number) {
    if (number != stand) {
      stand = number;
      current.clear();
    }
  }

  public void sent(String request, String database, int requestClass, double at) {
    Row r = current.get(database);
    if (r == null) {
      r = row(database, at);
    }
    r.last = at;
    r.byClass[requestClass]++;
    touches.add(request, stand, Kind.SENT, database, requestClass, at);
  }

  private Row row(String database, double at) {
    if (rows.size() >= ROWS_MOST) {
      Row oldest = rows.poll();
      dropped++;
      if (oldest.stand == stand) {
        current.remove(oldest.database);
      }
    }
    var r = new Row(stand, database, classes);
    r.first = at;
    rows.add(r);
    current.put(database, r);
    return r;
  }

  public void answered(String request, Kind kind, int requestClass, double at) {
    touches.add(request, stand, kind, "", requestClass, at);
    if (kind != Kind.SERVED) {
      ends.add(request, stand, kind, "", requestClass, at);
    }
  }

  public int stand() {
    return stand;
  }

  /** Oldest first. */
  public List<Row> rows() {
    return List.copyOf(rows);
  }

  /** The last touches, oldest first. */
  public List<Touch> touches() {
    return touches.since(0);
  }

  /** The last refusals and failures, oldest first. */
  public List<Touch> ends() {
    return ends.since(0);
  }

  /** Refusals and failures from this place on; {@link #endsPlace} is where the next will be. */
  List<Touch> endsSince(long place) {
    return ends.since(place);
  }

  long endsPlace() {
    return ends.n;
  }

  /** Rows that found no room any more. */
  public long dropped() {
    return dropped;
  }
}
