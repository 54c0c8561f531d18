package crankspar.lab.calls;

import crankspar.lab.LoopbackPorts;
import crankspar.lab.calls.CallHistory.Cut;
import crankspar.lab.calls.CallHistory.Kind;
import crankspar.lab.calls.CalledPooler.Addresses;
import crankspar.lab.rig.Link;
import crankspar.lab.rig.Sockets;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One drawn run: two poolers that replicate their stores, operators' calls at either in any order,
 * cuts of the links between them, kills beside and in the midst of calls. Each time that the links
 * stand again both have to agree, and at the end an enable at either has to bring every member
 * back.
 */
public final class CallRun implements AutoCloseable {
  private static final int ROUNDS = 4;

  /** In each part of a round. */
  private static final int STEPS_MOST = 6;

  private static final int PAUSE_MOST_MS = 300;
  private static final int KILL_AFTER_MOST_MS = 30;
  private static final List<String> MEMBERS =
      List.of(CalledPooler.member(1), CalledPooler.member(2));

  /** Until a cut has taken effect on bytes that were on their way. */
  private static final long CUT_SETTLES_MS = 200;

  /** In which poolers that hear each other have to agree, and members to be back. */
  private static final long AGREE_MS = 20_000;

  private static final long POLL_MS = 100;

  private final Random random;
  private final CallHistory history = new CallHistory();
  private final EventLoop loop = new EventLoop("call-run");
  private final Sockets sockets = new Sockets(loop);
  private final List<Link> links = new ArrayList<>();
  private final List<CalledPooler> poolers = new ArrayList<>();
  private double cutFrom;

  private CallRun(long seed, Path jar) throws IOException {
    random = new Random(seed);
    var addresses = new ArrayList<Addresses>();
    for (int i = 0; i < 2; i++) {
      addresses.add(new Addresses(free(), free(), free()));
      links.add(new Link(loop, sockets, free(), addresses.get(i).rest()));
    }
    for (int i = 0; i < 2; i++) {
      InetSocketAddress peer = links.get(1 - i).address();
      poolers.add(new CalledPooler(i, addresses.get(i), peer, loop, history, jar));
    }
  }

  private static InetSocketAddress free() throws IOException {
    return LoopbackPorts.free();
  }

  /** Plays a seed; what the rule forbids and was seen, empty where nothing was. */
  public static List<String> play(long seed) throws Exception {
    return play(seed, null);
  }

  /** The same before an earlier version. */
  static List<String> play(long seed, Path jar) throws Exception {
    try (var run = new CallRun(seed, jar)) {
      return run.play();
    }
  }

  private List<String> play() throws Exception {
    for (CalledPooler pooler : poolers) {
      pooler.start();
    }
    var broken = new ArrayList<String>();
    for (int round = 0; round < ROUNDS && broken.isEmpty(); round++) {
      round(broken);
    }
    ended(broken);
    broken.addAll(history.broken());
    if (history.accepted() == 0) {
      broken.add("no call was told yes");
    }
    if (!broken.isEmpty()) {
      broken.add(history.toString());
      for (CalledPooler pooler : poolers) {
        broken.add(pooler.logEnd());
      }
    }
    return broken;
  }

  /** Some calls while the poolers hear each other, some while they do not, and then they agree. */
  private void round(List<String> broken) throws Exception {
    steps();
    cut(true);
    steps();
    cut(false);
    if (!within(AGREE_MS, this::agreeAsTheyMust)) {
      broken.add("out: " + poolers.get(0).out() + " and " + poolers.get(1).out());
    }
  }

  private void steps() throws Exception {
    for (int left = random.nextInt(STEPS_MOST + 1); left > 0; left--) {
      step();
      TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_MOST_MS));
    }
  }

  private void step() throws Exception {
    CalledPooler pooler = poolers.get(random.nextInt(poolers.size()));
    String member = MEMBERS.get(random.nextInt(MEMBERS.size()));
    Kind kind = random.nextBoolean() ? Kind.DISABLE : Kind.ENABLE;
    switch (random.nextInt(8)) {
      case 0 -> pooler.restart();
      case 1 -> pooler.callAndKill(member, kind, random.nextInt(KILL_AFTER_MOST_MS));
      default -> pooler.call(member, kind);
    }
  }

  private void cut(boolean on) throws InterruptedException {
    if (on) {
      links.forEach(link -> link.cut(true));
      TimeUnit.MILLISECONDS.sleep(CUT_SETTLES_MS);
      cutFrom = CalledPooler.now();
    } else {
      history.add(new Cut(cutFrom, CalledPooler.now()));
      links.forEach(link -> link.cut(false));
    }
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static boolean within(long ms, Condition condition) throws Exception {
    double until = CalledPooler.now() + ms;
    while (!condition.holds()) {
      if (CalledPooler.now() > until) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    return true;
  }

  private void ended(List<String> broken) throws Exception {
    CalledPooler last = poolers.get(random.nextInt(poolers.size()));
    MEMBERS.forEach(member -> last.call(member, Kind.ENABLE));
    double since = CalledPooler.now();
    if (!within(AGREE_MS, () -> allAreBack(since))) {
      broken.add("not all are back after a last enable");
    }
  }

  /**
   * Whether each has heard all that the other knows, not only that they come to the same: who is
   * called before that does not know of the other's last calls.
   */
  private boolean agreeAsTheyMust() throws Exception {
    Set<String> out = poolers.get(0).out();
    return poolers.get(0).drains().equals(poolers.get(1).drains())
        && MEMBERS.stream().allMatch(m -> !history.mustBeOut(m) || out.contains(m))
        && MEMBERS.stream().allMatch(m -> !history.mustBeBack(m) || !out.contains(m));
  }

  private boolean allAreBack(double since) throws Exception {
    for (int i = 0; i < poolers.size(); i++) {
      int pooler = i;
      if (!poolers.get(i).out().isEmpty()
          || MEMBERS.stream().anyMatch(m -> history.sentSince(pooler, m, since) == 0)) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    for (CalledPooler pooler : poolers) {
      pooler.close();
    }
    links.forEach(Link::close);
    sockets.close();
    loop.close();
  }
}
