package crankspar.lab;

import crankspar.Router;
import crankspar.Router.Health;
import crankspar.Router.Member;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.function.BooleanSupplier;

/** One database of a {@link RoutingModel}: a few cores, a line before them and a replayed log. */
final class ModelDatabase {
  private static final int CORES = 3;
  private static final int MAX_WAITING = 64;

  /** Bounds of a replica's lag (ms). */
  private static final double MIN_LAG_MS = 4.6;

  private static final double MAX_LAG_MS = 12;

  final String id;
  final String zone;
  final int group;
  final boolean primary;
  boolean up = true;

  private final Timeline timeline;
  private final Router.Guarantees rules;
  private final ModelLoad load;
  private final ColdWindow window;
  private final double lag;
  private double started = Double.NEGATIVE_INFINITY;
  private int running;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

  /** The poolers that know of its last start. */
  private final BitSet toldOf = new BitSet();

  /** {@code meanWork} is the work of a mean request (ms). */
  ModelDatabase(
      Timeline timeline,
      Router.Settings settings,
      ModelLoad load,
      double meanWork,
      int group,
      int number) {
    this.timeline = timeline;
    this.rules = settings.guarantees();
    this.load = load;
    this.group = group;
    id = "db-" + group + "-" + number;
    zone = settings.zones().get(number % settings.zones().size());
    primary = number == 0;
    window = new ColdWindow(rules, CORES, meanWork);
    lag = timeline.between(MIN_LAG_MS, MAX_LAG_MS);
  }

  /** It starts anew, cold; nobody has been told yet. */
  void start() {
    started = timeline.now();
    toldOf.clear();
  }

  void tell(int pooler) {
    toldOf.set(pooler);
  }

  double position() {
    return primary ? timeline.now() : timeline.now() - lag;
  }

  /** The part of its full capacity that it has. */
  private double capacity() {
    double warmth = Math.max(0, timeline.now() - started) / rules.rampTime();
    return Math.min(1, rules.initialColdShare() + (1 - rules.initialColdShare()) * warmth);
  }

  Member listed() {
    return new Member(id, zone, primary, 1, Health.RUNNING, group, "", Math.max(0, started));
  }

  /** Whether the rule on cold databases holds for what this pooler sends now. */
  private boolean binds(int pooler) {
    return timeline.now() - started < rules.rampTime() && toldOf.get(pooler);
  }

  /** Work from a pooler that knows of the start counts, whatever the database does with it. */
  void pressed(int pooler, double work) {
    if (!binds(pooler)) {
      return;
    }
    window.take(timeline.now(), work);
    load.coldPeak = Math.max(load.coldPeak, window.times(capacity()));
    load.coldShare = Math.max(load.coldShare, window.share(capacity()));
  }

  /** A request arrives: it runs, waits, or is turned away as {@code full}. */
  void take(int pooler, double work, BooleanSupplier dropped, Runnable done, Runnable full) {
    pressed(pooler, work);
    load.coldSent += binds(pooler) ? 1 : 0;
    load.fullest = Math.max(load.fullest, running + waiting.size() + 1);
    if (running < CORES) {
      run(work, done);
    } else if (waiting.size() < MAX_WAITING) {
      waiting.add(
          () -> {
            if (dropped.getAsBoolean()) {
              next();
            } else {
              run(work, done);
            }
          });
    } else {
      full.run();
    }
  }

  private void run(double work, Runnable done) {
    running++;
    timeline.after(
        work / capacity(),
        () -> {
          running--;
          done.run();
          next();
        });
  }

  private void next() {
    if (running < CORES && !waiting.isEmpty()) {
      waiting.poll().run();
    }
  }
}
