package crankspar.core;

import crankspar.Router.Role;
import crankspar.Router.Status;

/**
 * How an attempt ended, as a value: each kind is one row of the protocol's table of outcomes.
 *
 * @param <A> a front's own kind of answer, which the core hands on unread
 */
public sealed interface AttemptEnd<A> {
  /** What the answer told of its member; NaN where it told no position (Unix ms). */
  record MemberState(Role role, double position) {
    public static final MemberState NONE = new MemberState(Role.UNKNOWN, Double.NaN);
  }

  /** What the module hears of it. */
  Status status();

  default MemberState memberState() {
    return MemberState.NONE;
  }

  /** Whether its last byte has been handed to the system. */
  default boolean written() {
    return true;
  }

  /** Whether it may have run without a whole answer that says so. */
  default boolean uncertain() {
    return false;
  }

  record Served<A>(A answer, MemberState memberState) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.OK;
    }
  }

  /** Turned away for its role or for how far it lags; nothing ran. */
  record Missed<A>(MemberState memberState) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.MISS;
    }
  }

  /** Turned away unseen. */
  record TurnedAway<A>(MemberState memberState) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.FULL;
    }
  }

  /** Answered with an error; it may have run. */
  record Erred<A>(MemberState memberState, String why) implements AttemptEnd<A> {
    @Override
    public Status status() {
      return Status.ERROR;
    }

    @Override
    public boolean uncertain() {
      return true;
    }
  }

  /** Never written, and its member is not to blame: the time was up before a connection was. */
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

  /** The connection failed or ended first. */
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
