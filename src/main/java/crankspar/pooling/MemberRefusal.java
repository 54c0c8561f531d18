package crankspar.pooling;

import crankspar.Router.Role;
import crankspar.core.AttemptEnd;
import crankspar.core.AttemptEnd.MemberReport;
import java.util.Set;

/**
 * Errors by which a member refuses a batch before executing it; the core handles them and may retry
 * at another member, so the client does not see them.
 */
final class MemberRefusal {
  /**
   * SQLSTATEs of a member that cannot serve the batch: it is read-only, or its snapshot is too old.
   */
  private static final Set<String> CANNOT_SERVE = Set.of("25006", "72000");

  /** SQLSTATEs of a member that currently accepts no work. */
  private static final Set<String> NOT_ACCEPTING = Set.of("53300", "57P03");

  /** SQLSTATE of an internal error of the server. */
  private static final String INTERNAL_ERROR = "XX000";

  private MemberRefusal() {}

  /** How the attempt ends if the batch was answered with such an error, else null. */
  static AttemptEnd<Answer> of(OpeningBatch opening, Exchange exchange, MemberReport note) {
    boolean write = opening.way.write();
    boolean blockAtReplica =
        opening.onlyBegin && note.role() == Role.REPLICA && exchange.status() == 'T';
    if (write && blockAtReplica) {
      return new AttemptEnd.Missed<>(note);
    }
    String error = exchange.firstError();
    if (error == null || exchange.executed() || exchange.status() != 'I') {
      return null;
    }
    if (CANNOT_SERVE.contains(error)) {
      return new AttemptEnd.Missed<>(note);
    }
    if (NOT_ACCEPTING.contains(error)) {
      return new AttemptEnd.TurnedAway<>(note);
    }
    return error.equals(INTERNAL_ERROR) && !write ? new AttemptEnd.Erred<>(note, error) : null;
  }
}
