package crankspar.pooling;

import crankspar.Router.Role;
import crankspar.core.AttemptEnd;
import crankspar.core.AttemptEnd.MemberState;
import java.util.Set;

/** Errors by which a member turns a batch away untouched: the module hears them, not the client. */
final class MemberRefusal {
  /**
   * SQLSTATEs of a member that cannot serve it: a read-only one, or one with too old a snapshot.
   */
  private static final Set<String> CANNOT_SERVE = Set.of("25006", "72000");

  /** SQLSTATEs of a member that takes nothing now. */
  private static final Set<String> NOT_ACCEPTING = Set.of("53300", "57P03");

  /** SQLSTATE of an error within the server itself. */
  private static final String INTERNAL_ERROR = "XX000";

  private MemberRefusal() {}

  /** How the attempt ends where the batch's answer is such an error, else null. */
  static AttemptEnd<Answer> of(OpeningBatch opening, Exchange exchange, MemberState note) {
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
