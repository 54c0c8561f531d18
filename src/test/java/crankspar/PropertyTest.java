package crankspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Outcome;
import crankspar.Router.Repeat;
import crankspar.Router.Role;
import crankspar.Router.Status;
import crankspar.policy.RequestRouter;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Sends random events from a seeded generator; the policy's actions must keep the rules. */
class PropertyTest {
  private static final List<String> IDS = List.of("a", "b", "c", "d", "e");
  private static final double SLACK = 20;

  private record Sent(String request, int number, String member) {}

  /** The test's record of one request. */
  private static final class PendingRequest {
    Router.RequestClass kind;
    double deadline;
    double firstRisk = Double.NaN;
    int tries;
    int out;
    boolean ran;
    boolean over;
  }

  private static final class World implements Router.Actions {
    final Router.Settings settings;
    final Router module;
    final Trace trace = new Trace(this);
    final Random random;
    final Map<String, PendingRequest> owed = new TreeMap<>();
    final List<Sent> out = new ArrayList<>();
    final List<Sent> ended = new ArrayList<>();
    final Set<String> draining = new HashSet<>();
    final TreeMap<Double, List<Long>> timers = new TreeMap<>();
    final StringBuilder log = new StringBuilder();
    double now = Fake.ZERO;

    World(Fake fake, long seed) {
      settings = fake.settings();
      random = new Random(seed);
      module = Trace.recording(settings, trace, RequestRouter::new);
      module.onStart(now);
      module.onMembers(
          now, ListKind.OLD_COPY, IDS.stream().map(id -> Fake.member(id, "near")).toList());
    }

    @Override
    public void send(String request, String member, double timeout) {
      log.append("send ").append(request).append(member);
      PendingRequest o = owed.get(request);
      boolean safe = o.kind.repeat() == Repeat.SAFE;
      assertTrue(!o.over && now < o.deadline, "sent after its end");
      assertTrue(!draining.contains(member), "sent to a draining member");
      assertTrue(o.tries < settings.limits().maxAttempts(), "too many tries");
      assertTrue(o.out == 0 || settings.limits().hedging(), "two at once");
      if (!safe && (o.ran || o.out > 0)) {
        assertEquals(Repeat.KEYED, o.kind.repeat(), "an unsafe one that may have run was repeated");
        assertTrue(now - o.firstRisk < o.kind.keyTtl(), "repeated past its key's time");
      }
      o.firstRisk = o.ran || o.out > 0 ? o.firstRisk : now;
      out.add(new Sent(request, o.tries++, member));
      o.out++;
    }

    @Override
    public void refuse(String request, double retryIn) {
      PendingRequest o = owed.get(request);
      assertTrue(
          o.kind.repeat() == Repeat.SAFE || !o.ran && o.out == 0, "refused though it may have run");
      close(request, "refuse ");
    }

    @Override
    public void fail(String request) {
      close(request, "fail ");
    }

    private void close(String request, String how) {
      log.append(how).append(request);
      assertTrue(!owed.get(request).over, "a second final answer");
      owed.get(request).over = true;
    }

    @Override
    public void cancel(String request, int attempt) {
      log.append("cancel").append(request);
    }

    @Override
    public void setTimer(double delay, long cookie) {
      timers.computeIfAbsent(now + Math.max(delay, 0.001), k -> new ArrayList<>()).add(cookie);
    }

    @Override
    public void probe(String member) {
      log.append("probe").append(member);
    }

    @Override
    public void watchDiscovery(boolean on) {}

    @Override
    public void log(String text) {}

    void end(Sent s, Status status) {
      PendingRequest o = owed.get(s.request());
      out.remove(s);
      ended.add(s);
      o.out--;
      o.ran |= !status.neverRan;
      o.over |= status == Status.OK;
      boolean told = status == Status.OK || status == Status.MISS || status == Status.FULL;
      Role role =
          !told
              ? Role.UNKNOWN
              : s.member().equals("a") == random.nextInt(20) > 0 ? Role.PRIMARY : Role.REPLICA;
      module.onOutcome(
          now,
          new Outcome(
              s.request(),
              s.number(),
              s.member(),
              status,
              1 + random.nextInt(300),
              o.over,
              role,
              told ? now - random.nextInt(900) : Double.NaN));
    }

    void step(int i) {
      double to = now + random.nextInt(25);
      while (!timers.isEmpty() && timers.firstKey() <= to) {
        var due = timers.pollFirstEntry();
        now = Math.max(now, due.getKey());
        due.getValue().forEach(cookie -> module.onTimer(now, cookie));
      }
      now = to;
      for (Sent s : List.copyOf(out)) {
        if (now >= owed.get(s.request()).deadline) {
          end(s, Status.TIMEOUT);
        }
      }
      owed.forEach(
          (id, o) -> assertTrue(o.over || now < o.deadline + SLACK + 25, "no answer for " + id));
      int what = random.nextInt(100);
      if (what < 45) {
        String id = "r" + i;
        var o = new PendingRequest();
        int kind = random.nextInt(settings.classes().size());
        o.kind = settings.classes().get(kind);
        double ttl = o.kind.timeout() * (0.4 + 0.6 * random.nextDouble());
        o.deadline = now + ttl;
        owed.put(id, o);
        module.onRequest(now, new Router.Request(id, kind, ttl, "s" + random.nextInt(5), -1, 1));
      } else if (what < 90 && !out.isEmpty()) {
        Status[] all = Status.values();
        end(
            out.get(random.nextInt(out.size())),
            random.nextBoolean() ? Status.OK : all[random.nextInt(all.length)]);
      } else if (what < 94) {
        String id = IDS.get(random.nextInt(IDS.size()));
        Health health = Health.values()[random.nextInt(3)];
        boolean binds =
            health == Health.DRAINING
                || health == Health.GONE
                    && (!settings.guarantees().softRemoval() || draining.contains(id));
        if (binds) {
          draining.add(id);
        } else {
          draining.remove(id);
        }
        module.onMembers(
            now,
            ListKind.CHANGES,
            List.of(Fake.member(id, "near", health, false, random.nextBoolean() ? now : 0)));
      } else if (!ended.isEmpty()) { // late and repeated events, and events for unknown requests
        Sent s = ended.get(random.nextInt(ended.size()));
        module.onOutcome(
            now,
            new Outcome(
                s.request(), s.number(), s.member(), Status.OK, 5, true, Role.UNKNOWN, Double.NaN));
        module.onClientGone(now, "never");
        module.onTimer(now, -1);
        module.onProbe(
            now, new Router.ProbeResult(s.member(), random.nextBoolean(), 1, Role.REPLICA, now));
      }
    }
  }

  /** The settings derived from a seed. */
  static Fake fake(long seed) {
    var fake = new Fake();
    fake.seed = seed;
    fake.secondCopies = seed % 2 == 0;
    fake.softRemoval = seed % 3 == 0;
    fake.siblings = seed % 4 < 2 ? 3 : 60;
    fake.writes = seed % 5 == 0 ? Repeat.UNSAFE : Repeat.KEYED;
    fake.behind = seed % 7 < 4 ? Router.LaggingRead.ANSWERS : Router.LaggingRead.WAITS;
    return fake;
  }

  /** The recorded events and actions of one seed. */
  static String trace(long seed) {
    return world(seed).trace.text.toString();
  }

  private static String play(long seed) {
    return world(seed).log.toString();
  }

  private static World world(long seed) {
    var world = new World(fake(seed), seed);
    for (int i = 0; i < 1500; i++) {
      world.step(i);
    }
    return world;
  }

  @Test
  void randomEventsBreakNoRule() {
    for (long seed = 0; seed < 40; seed++) {
      play(seed);
    }
  }

  @Test
  void theSameRandomEventsGiveTheSameActions() {
    for (long seed = 0; seed < 5; seed++) {
      assertEquals(play(seed), play(seed));
    }
  }
}
