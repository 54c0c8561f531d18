package crankspar;

import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.Role;
import crankspar.Router.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Records a policy's events and actions in order, one per line, to be replayed against another
 * version. Numbers are written so that they parse back to the same value.
 */
final class Trace implements Router.Actions {
  final StringBuilder text = new StringBuilder();
  private final Router.Actions to;

  /** Forwards actions to {@code to} unless it is null. */
  Trace(Router.Actions to) {
    this.to = to;
  }

  private void line(Object... parts) {
    for (int i = 0; i < parts.length; i++) {
      text.append(i == 0 ? "" : "\t").append(parts[i]);
    }
    text.append('\n');
  }

  /** Wraps a policy and records its events without changing its behaviour. */
  static Router recording(
      Router.Settings settings,
      Trace into,
      BiFunction<Router.Settings, Router.Actions, Router> maker) {
    Router module = maker.apply(settings, into);
    return new Router() {
      @Override
      public void onStart(double now) {
        into.line("start", now);
        module.onStart(now);
      }

      @Override
      public void onMembers(double now, ListKind kind, List<Member> members) {
        into.line("members", now, kind, members.size());
        members.forEach(
            m ->
                into.line(
                    "member",
                    m.id(),
                    m.zone(),
                    m.listedPrimary(),
                    m.capacityHint(),
                    m.health(),
                    m.group(),
                    m.machine(),
                    m.lastStart()));
        module.onMembers(now, kind, members);
      }

      @Override
      public void onWatchLost(double now) {
        into.line("lost", now);
        module.onWatchLost(now);
      }

      @Override
      public void onRequest(double now, Request r) {
        into.line(
            "request", now, r.id(), r.requestClass(), r.ttl(), r.session(), r.markAge(), r.group());
        module.onRequest(now, r);
      }

      @Override
      public void onOutcome(double now, Outcome o) {
        into.line(
            "outcome",
            now,
            o.request(),
            o.number(),
            o.member(),
            o.status(),
            o.elapsed(),
            o.requestDone(),
            o.role(),
            o.position());
        module.onOutcome(now, o);
      }

      @Override
      public void onProbe(double now, ProbeResult r) {
        into.line("probed", now, r.member(), r.ok(), r.elapsed(), r.role(), r.position());
        module.onProbe(now, r);
      }

      @Override
      public void onPeerReports(double now, List<PeerReport> what) {
        into.line("hearsay", now, what.size());
        what.forEach(
            t -> into.line("told", t.member(), t.role(), t.position(), t.heardAt(), t.inFlight()));
        module.onPeerReports(now, what);
      }

      @Override
      public void onClientGone(double now, String request) {
        into.line("gone", now, request);
        module.onClientGone(now, request);
      }

      @Override
      public void onTimer(double now, long cookie) {
        into.line("timer", now, cookie);
        module.onTimer(now, cookie);
      }

      @Override
      public Set<String> avoided() {
        return module.avoided();
      }
    };
  }

  /** Replays the events against another policy; returns them with its actions. */
  static String replay(
      List<String> lines,
      Router.Settings settings,
      BiFunction<Router.Settings, Router.Actions, Router> maker) {
    var trace = new Trace(null);
    Router module = recording(settings, trace, maker);
    for (int i = 0; i < lines.size(); i++) {
      String[] f = lines.get(i).split("\t", -1);
      double now =
          f.length > 1 && !f[0].startsWith(">") && !f[0].equals("member") && !f[0].equals("told")
              ? num(f[1])
              : 0;
      switch (f[0]) {
        case "start" -> module.onStart(now);
        case "members" ->
            module.onMembers(
                now,
                ListKind.valueOf(f[2]),
                lines.subList(i + 1, i + 1 + Integer.parseInt(f[3])).stream()
                    .map(Trace::member)
                    .toList());
        case "lost" -> module.onWatchLost(now);
        case "request" ->
            module.onRequest(
                now,
                new Router.Request(
                    f[2],
                    Integer.parseInt(f[3]),
                    num(f[4]),
                    f[5].equals("null") ? null : f[5],
                    num(f[6]),
                    Integer.parseInt(f[7])));
        case "outcome" ->
            module.onOutcome(
                now,
                new Router.Outcome(
                    f[2],
                    Integer.parseInt(f[3]),
                    f[4],
                    Status.valueOf(f[5]),
                    num(f[6]),
                    Boolean.parseBoolean(f[7]),
                    Role.valueOf(f[8]),
                    num(f[9])));
        case "probed" ->
            module.onProbe(
                now,
                new Router.ProbeResult(
                    f[2], Boolean.parseBoolean(f[3]), num(f[4]), Role.valueOf(f[5]), num(f[6])));
        case "hearsay" ->
            module.onPeerReports(
                now,
                lines.subList(i + 1, i + 1 + Integer.parseInt(f[2])).stream()
                    .map(Trace::told)
                    .toList());
        case "gone" -> module.onClientGone(now, f[2]);
        case "timer" -> module.onTimer(now, Long.parseLong(f[2]));
        default -> {} // an action, or a line already read with its event
      }
    }
    return trace.text.toString();
  }

  private static double num(String text) {
    return Double.parseDouble(text);
  }

  private static Member member(String line) {
    String[] f = line.split("\t", -1);
    return new Member(
        f[1],
        f[2],
        Boolean.parseBoolean(f[3]),
        num(f[4]),
        Health.valueOf(f[5]),
        Integer.parseInt(f[6]),
        f[7],
        num(f[8]));
  }

  private static Router.PeerReport told(String line) {
    String[] f = line.split("\t", -1);
    return new Router.PeerReport(
        f[1], Role.valueOf(f[2]), num(f[3]), num(f[4]), Integer.parseInt(f[5]));
  }

  /** The first difference of two texts with its line number, or null. */
  static String difference(List<String> was, List<String> is) {
    var both = new ArrayList<>(was);
    for (int i = 0; i < Math.max(both.size(), is.size()); i++) {
      String a = i < both.size() ? both.get(i) : "the end";
      String b = i < is.size() ? is.get(i) : "the end";
      if (!a.equals(b)) {
        return "line " + (i + 1) + ": was <" + a + ">, is <" + b + ">";
      }
    }
    return null;
  }

  private void did(Object... parts) {
    parts[0] = "> " + parts[0];
    line(parts);
  }

  @Override
  public void send(String request, String member, double timeout) {
    did("send", request, member, timeout);
    if (to != null) {
      to.send(request, member, timeout);
    }
  }

  @Override
  public void refuse(String request, double retryIn) {
    did("refuse", request, retryIn);
    if (to != null) {
      to.refuse(request, retryIn);
    }
  }

  @Override
  public void fail(String request) {
    did("fail", request);
    if (to != null) {
      to.fail(request);
    }
  }

  @Override
  public void cancel(String request, int attempt) {
    did("cancel", request, attempt);
    if (to != null) {
      to.cancel(request, attempt);
    }
  }

  @Override
  public void setTimer(double delay, long cookie) {
    did("timer", delay, cookie);
    if (to != null) {
      to.setTimer(delay, cookie);
    }
  }

  @Override
  public void probe(String member) {
    did("probe", member);
    if (to != null) {
      to.probe(member);
    }
  }

  @Override
  public void watchDiscovery(boolean on) {
    did("watch", on);
    if (to != null) {
      to.watchDiscovery(on);
    }
  }

  @Override
  public void log(String text) {
    did("log", text);
  }
}
