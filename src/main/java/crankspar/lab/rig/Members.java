package crankspar.lab.rig;

import crankspar.Router.Health;
import crankspar.Router.Member;

/** A listed database with one of its properties changed. */
final class Members {
  private Members() {}

  static Member withHealth(Member m, Health health) {
    return copy(m, m.listedPrimary(), health, m.lastStart());
  }

  static Member withPrimary(Member m, boolean primary) {
    return copy(m, primary, m.health(), m.lastStart());
  }

  /** It runs since {@code start} (Unix ms). */
  static Member started(Member m, double start) {
    return copy(m, m.listedPrimary(), Health.RUNNING, start);
  }

  private static Member copy(Member m, boolean primary, Health health, double start) {
    return new Member(
        m.id(), m.zone(), primary, m.capacityHint(), health, m.group(), m.machine(), start);
  }
}
