package crankspar.core;

import crankspar.Router.Role;

/**
 * Sends the probes of one core over its own connections, unless a {@link Ports.SharedProber}
 * handles the member.
 */
final class Prober<A> {
  private final Ports.Time time;
  private final Ports.Backends<?, A> backends;
  private final Counters counters;
  private final MemberReportValidator validator;
  private final double timeoutMs;
  private Ports.SharedProber sharedProber;

  /** A probe that takes longer than {@code timeoutMs} is abandoned and counts as failed. */
  Prober(
      Ports.Time time,
      Ports.Backends<?, A> backends,
      Counters counters,
      MemberReportValidator validator,
      double timeoutMs) {
    this.time = time;
    this.backends = backends;
    this.counters = counters;
    this.validator = validator;
    this.timeoutMs = timeoutMs;
  }

  void sharedProber(Ports.SharedProber sharedProber) {
    this.sharedProber = sharedProber;
  }

  void probe(Pooler<?, ?> core, String member) {
    if (sharedProber == null || !sharedProber.handles(core, member)) {
      probeNow(
          member,
          (ok, elapsed, role, position) ->
              core.probeCompleted(member, ok, elapsed, role, position));
    }
  }

  void probeNow(String member, Ports.ProbeListener listener) {
    counters.add("probes");
    double sent = time.now();
    boolean[] done = new boolean[1];
    Ports.Call call =
        backends.probe(
            member,
            end -> {
              if (!done[0]) {
                done[0] = true;
                AttemptEnd.MemberReport state =
                    end instanceof AttemptEnd.Served<A> s
                        ? validator.validate(s.memberReport())
                        : AttemptEnd.MemberReport.NONE;
                listener.probeCompleted(
                    end instanceof AttemptEnd.Served<A>,
                    time.now() - sent,
                    state.role(),
                    state.position());
              }
            });
    time.afterExcludingStalls(
        timeoutMs,
        () -> {
          if (!done[0]) {
            done[0] = true;
            call.abandon();
            listener.probeCompleted(false, time.now() - sent, Role.UNKNOWN, Double.NaN);
          }
        });
  }
}
