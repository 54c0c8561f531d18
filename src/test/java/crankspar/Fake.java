package crankspar;

import crankspar.policy.RequestRouter;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A scripted proxy: a clock set by the test, and actions recorded as text in order. */
final class Fake implements Router.Actions {
  static final double ZERO = 1_000_000;
  final List<String> actions = new ArrayList<>();
  final TreeMap<Double, List<Long>> timers = new TreeMap<>();
  final List<String> attempts = new ArrayList<>();
  final java.util.Map<String, Integer> numbers = new java.util.HashMap<>();
  Router.LaggingRead behind = Router.LaggingRead.ANSWERS;
  Router.RoleInList roleInList = Router.RoleInList.NEVER;
  Router.SessionMarks sessionMarks = Router.SessionMarks.REMEMBERED;
  Router.Reports reports = Router.Reports.NONE;
  Router.DedupScope scope = Router.DedupScope.GROUP;
  Router.Repeat writes = Router.Repeat.KEYED;
  boolean secondCopies = true;
  boolean askDiscovery = true;
  boolean softRemoval;
  int siblings = 3;
  long seed = 7;
  RequestRouter router;
  double now = ZERO;
  double answerTime = 10; // elapsed (ms) of each outcome

  static final int BROWSE = 0;
  static final int OWN = 1;
  static final int WRITE = 2;
  static final int FRESH = 3;
  static final int ANY = 4;
  static final int LONG = 5;

  Router.Settings settings() {
    var classes =
        List.of(
            kind("browse", 300, 1200, 0, Router.Repeat.SAFE, Router.Freshness.BOUNDED, 500),
            kind("own", 250, 750, 0, Router.Repeat.SAFE, Router.Freshness.SESSION, 0),
            kind("write", 750, 3000, 0.3, writes, Router.Freshness.WRITE, 0),
            kind("fresh", 400, 1000, 0.2, Router.Repeat.SAFE, Router.Freshness.FRESH, 0),
            kind("any", 400, 1000, 0, Router.Repeat.SAFE, Router.Freshness.ANY, 0),
            kind("long", 6000, 9000, 0, Router.Repeat.SAFE, Router.Freshness.ANY, 0));
    return new Router.Settings(
        seed,
        "near",
        List.of("far", "near", "mid"),
        0,
        siblings,
        5,
        askDiscovery,
        classes,
        behind,
        0,
        roleInList,
        sessionMarks,
        true,
        false,
        0,
        reports,
        new Router.Guarantees(20, 10_000, 0.2, 16_000, 500, 2.5, 1500, softRemoval),
        new Router.Limits(10, secondCopies, true, true, true, 1000, 250, 30_000, 20_000, true),
        new Router.Prices(0.02, 0.08, 0.02, 0.05, 0.01));
  }

  private Router.RequestClass kind(
      String name,
      double aim,
      double giveUp,
      double late,
      Router.Repeat repeat,
      Router.Freshness freshness,
      double bound) {
    return new Router.RequestClass(
        name, aim, giveUp, 2, late, repeat, scope, 2000, freshness, bound);
  }

  Fake start(Router.Member... members) {
    router = new RequestRouter(settings(), this);
    router.onStart(now);
    router.onMembers(now, Router.ListKind.OLD_COPY, List.of(members));
    return this;
  }

  static Router.Member member(String id, String zone) {
    return new Router.Member(id, zone, false, 1, Router.Health.RUNNING, 1, "std", 0);
  }

  static Router.Member member(
      String id, String zone, Router.Health health, boolean primary, double lastStart) {
    return new Router.Member(id, zone, primary, 1, health, 1, "std", lastStart);
  }

  /** Advances the clock and runs the timers that fall due. */
  Fake at(double ms) {
    double to = ZERO + ms;
    while (!timers.isEmpty() && timers.firstKey() <= to) {
      var due = timers.pollFirstEntry();
      now = Math.max(now, due.getKey());
      due.getValue().forEach(cookie -> router.onTimer(now, cookie));
    }
    now = to;
    return this;
  }

  /** Submits a request; returns the member it was sent to at once, or null. */
  String ask(String id, int kind, double ttl, String session) {
    int before = attempts.size();
    router.onRequest(now, new Router.Request(id, kind, ttl, session, -1, 1));
    return attempts.size() > before ? memberOf(attempts.get(attempts.size() - 1)) : null;
  }

  String ask(String id, int kind) {
    return ask(id, kind, kind == WRITE ? 3000 : kind == BROWSE ? 1200 : 750, "s");
  }

  /** Ends the newest attempt of a request; {@code ago} is the age of its position (ms). */
  void end(String id, Router.Status status, Router.Role role, double ago) {
    end(id, numbers.get(id), status, role, ago);
  }

  void end(String id, int number, Router.Status status, Router.Role role, double ago) {
    String at =
        attempts.stream()
            .filter(t -> t.startsWith(id + " " + number + " "))
            .findFirst()
            .orElseThrow();
    router.onOutcome(
        now,
        new Router.Outcome(
            id,
            number,
            memberOf(at),
            status,
            answerTime,
            status == Router.Status.OK,
            role,
            role == Router.Role.UNKNOWN ? Double.NaN : now - ago));
  }

  /** Delivers a probe result, from which the policy learns a member's role and position. */
  void probeResult(String member, Router.Role role, double ago) {
    router.onProbe(now, new Router.ProbeResult(member, true, 1, role, now - ago));
  }

  long sends(String id) {
    return attempts.stream().filter(t -> t.startsWith(id + " ")).count();
  }

  long finalAnswers(String id) {
    return actions.stream().filter(a -> a.equals("refuse " + id) || a.equals("fail " + id)).count();
  }

  boolean did(String act) {
    return actions.contains(act);
  }

  static String memberOf(String attempt) {
    return attempt.substring(attempt.lastIndexOf(' ') + 1);
  }

  @Override
  public void send(String request, String member, double timeout) {
    int number = numbers.merge(request, 0, (a, b) -> a + 1);
    attempts.add(request + " " + number + " " + member);
    actions.add("send " + request + " " + member);
  }

  @Override
  public void refuse(String request, double retryIn) {
    actions.add("refuse " + request);
  }

  @Override
  public void fail(String request) {
    actions.add("fail " + request);
  }

  @Override
  public void cancel(String request, int attempt) {
    actions.add("cancel " + request + " " + attempt);
  }

  @Override
  public void setTimer(double delay, long cookie) {
    timers.computeIfAbsent(now + Math.max(delay, 0.001), k -> new ArrayList<>()).add(cookie);
  }

  @Override
  public void probe(String member) {
    actions.add("probe " + member);
  }

  @Override
  public void watchDiscovery(boolean on) {
    actions.add("watch " + on);
  }

  @Override
  public void log(String text) {
    actions.add("log " + text);
  }
}
