package crankspar.lab.load;

import java.util.List;

/**
 * What is asked: classes with their shares, sessions and groups, and how long the whole lasts.
 *
 * @param sessions of which each request has one; {@code connections} is the most at once
 * @param front whose protocol is spoken
 * @param lateMost a run in which more than {@code lateShare} of the sends left later than this (ms)
 *     is no measurement
 */
public record Workload(
    List<Kind> kinds,
    List<Shape> shapes,
    boolean even,
    int sessions,
    int groups,
    double duration,
    long seed,
    Front front,
    int connections,
    double lateMost,
    double lateShare) {
  /**
   * PLATFORM: statements with a comment; SIMPLE and PREPARED: any PostgreSQL server or the pooling
   * front; REST: paged.
   */
  public enum Front {
    PLATFORM,
    SIMPLE,
    PREPARED,
    REST
  }

  /**
   * One class.
   *
   * @param share of all requests, by weight
   * @param giveUp ms after which its client has gone
   * @param check what its answers are held to; {@code bound} is ms
   * @param retries how often its client asks again after a refusal, or after any failure of a read,
   *     each after {@code pause} ms
   * @param sql {@code $n} stands for the request's number, {@code $s} for its session
   */
  public record Kind(
      String name,
      double share,
      double giveUp,
      boolean write,
      String sql,
      Check check,
      double bound,
      int retries,
      double pause) {
    public Kind(String name, double share, double giveUp, boolean write, String sql) {
      this(name, share, giveUp, write, sql, Check.NONE, 0, 0, 0);
    }
  }

  /**
   * BOUND: no answer is older than the bound when its request left; SESSION: it shows its session's
   * own writes.
   */
  public enum Check {
    NONE,
    BOUND,
    SESSION
  }
}
