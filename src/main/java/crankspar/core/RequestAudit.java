package crankspar.core;

import java.util.function.Function;

/** Names requests for logs and records in the audit, if there is one, how each was answered. */
final class RequestAudit<Q> {
  private final Ports.Time time;
  private Ports.Audit audit;
  private Function<Q, String> naming = query -> null;

  RequestAudit(Ports.Time time) {
    this.time = time;
  }

  void audit(Ports.Audit recorder) {
    audit = recorder;
  }

  /** Sets how a query's own id is found; null means it has none. */
  void naming(Function<Q, String> ownId) {
    naming = ownId;
  }

  /** Whether answers are recorded. */
  boolean on() {
    return audit != null;
  }

  /** The query's own id, or {@code otherwise}. */
  String name(Q query, String otherwise) {
    String name = naming.apply(query);
    return name == null ? otherwise : name;
  }

  void answered(PendingRequest<Q, ?> pending, Ports.Audit.Answer how) {
    if (audit != null) {
      audit.answered(pending.name, how, pending.request.requestClass(), time.now());
    }
  }

  /** Records what became of a request that a front has read but not accepted. */
  void notTaken(Q query, int requestClass, Ports.Audit.Answer how) {
    String name = naming.apply(query);
    if (audit != null && name != null) {
      audit.answered(name, how, requestClass, time.now());
    }
  }
}
