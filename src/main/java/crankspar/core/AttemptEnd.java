package crankspar.core;

import crankspar.Router.Role;
import crankspar.Router.Status;

/**
 * How an attempt ended; each kind corresponds to one row of the protocol's table of outcomes.
 *
 * @param <A> a front's own kind of answer, which the core passes on unread
 */
public sealed interface AttemptEnd<A> {
  /**
   * The role and replication position (Unix ms; NaN if unknown) that an answer reported for its
   * member.
   */
  record MemberReport(Role role, double position) {
    public static final MemberReport NONE = new MemberReport(Role.UNKNOWN, Double.NaN);
  }

  /** The status that is reported to the module. */
  Status status();

  default MemberReport memberReport() {
    return MemberReport.NONE;
  }

  /** Whether the request's last byte has been handed to the operating system. */
  default boolean written() {
    return true;
  }

  /** Whether the request may have run without a complete answer that confirms it. */
  default boolean uncertain() {
    return false;
  }

  record Served<A>(A answer, MemberReport memberReport) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.OK;
    }
  }

  /** Rejected by the member because of its role or its replication lag; nothing ran. */
  record Missed<A>(MemberReport memberReport) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.MISS;
    }
  }

  /** Rejected by the member without being processed, because it is at capacity. */
  record TurnedAway<A>(MemberReport memberReport) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.FULL;
    }
  }

  /** Answered with an error; the request may have run. */
  record Erred<A>(MemberReport memberReport, String why) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.ERROR;
    }

    @Override
    public boolean uncertain() {
      return true;
    }
  }

  /**
   * Never written, through no fault of the member: the time ran out before a connection was
   * established.
   */
  record Unsent<A>(String why) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.MOOT;
    }

    @Override
    public boolean written() {
      return false;
    }
  }

  /** The connection failed or closed before an answer. */
  record Broken<A>(AttemptProgress progress, String why) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return progress.mayHaveRun() ? Status.RESET : Status.CONNECT_FAILED;
    }

    @Override
    public boolean written() {
      return progress.mayHaveRun();
    }

    @Override
    public boolean uncertain() {
      return progress.mayHaveRun();
    }
  }
}
