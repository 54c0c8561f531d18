package crankspar.lab.rig;

import crankspar.lab.load.Workload;
import java.util.List;

/** A class of requests, with its share and the time that it keeps a core of a warm database. */
record RequestKind(String name, double share, int workMs, double deadlineMs) {
  private static final int RETRIES = 8;
  private static final double RETRY_PAUSE_MS = 20;

  static final List<RequestKind> ALL =
      List.of(
          new RequestKind("board", 0.46, 30, 600),
          new RequestKind("own", 0.42, 30, 750),
          new RequestKind("check", 0.032, 80, 2000),
          new RequestKind("report", 0.023, 400, 8000),
          new RequestKind("claim", 0.058, 50, 3000));

  String sql() {
    String work = "pg_sleep(" + workMs / 1000.0 + ")";
    return name.equals("claim") ? "INSERT INTO t VALUES ($n) RETURNING " + work : "SELECT " + work;
  }

  static double meanWorkMs() {
    double shares = ALL.stream().mapToDouble(RequestKind::share).sum();
    return ALL.stream().mapToDouble(k -> k.share() * k.workMs()).sum() / shares;
  }

  /** The kind as the load generator takes it; its clients repeat at once what was refused. */
  Workload.Kind workload() {
    return new Workload.Kind(
        name,
        share,
        deadlineMs,
        name.equals("claim"),
        sql(),
        Workload.Check.NONE,
        0,
        RETRIES,
        RETRY_PAUSE_MS);
  }
}
