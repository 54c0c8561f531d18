package crankspar.core;

import crankspar.Router.Role;

/** Probes of one core: over its own connections, unless somebody probes for several. */
final class Prober<A> {
  private final Ports.Time time;
  private final Ports.Backends<?, A> backends;
  private final Counters counters;
  private final Notes notes;
  private final double most;
  private Ports.SharedProber others;

  /** A probe that takes longer than {@code most} ms is given up. */
  Prober(
      Ports.Time time, Ports.Backends<?, A> backends, Counters counters, Notes notes, double most) {
    this.time = time;
    this.backends = backends;
    this.counters = counters;
    this.notes = notes;
    this.most = most;
  }

  void others(Ports.SharedProber others) {
    this.others = others;
  }

  void probe(Pooler<?, ?> core, String member) {
    if (others == null || !others.handles(core, member)) {
      now(
          member,
          (ok, elapsed, role, position) ->
              core.probeCompleted(member, ok, elapsed, role, position));
    }
  }

  void now(String member, Ports.ProbeListener told) {
    counters.add("probes");
    double sent = time.now();
    boolean[] over = new boolean[1];
    Ports.Call call =
        backends.probe(
            member,
            end -> {
              if (!over[0]) {
                over[0] = true;
                AttemptEnd.MemberState note =
                    end instanceof AttemptEnd.Served<A> s
                        ? notes.plausible(s.memberState())
                        : AttemptEnd.MemberState.NONE;
                told.probeCompleted(
                    end instanceof AttemptEnd.Served<A>,
                    time.now() - sent,
                    note.role(),
                    note.position());
              }
            });
    time.afterExcludingStalls(
        most,
        () -> {
          if (!over[0]) {
            over[0] = true;
            call.abandon();
            told.probeCompleted(false, time.now() - sent, Role.UNKNOWN, Double.NaN);
          }
        });
  }
}
