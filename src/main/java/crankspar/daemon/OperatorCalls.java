package crankspar.daemon;

import crankspar.Router;
import crankspar.core.Pooler;
import crankspar.mgmt.Operations;
import crankspar.net.MemoryBudget;
import crankspar.store.Change;
import crankspar.store.CommitResult;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * What operators ask of this pooler, on the loop. It answers while it is still being put together.
 */
final class OperatorCalls implements Operations {
  private static final Logger LOG = Logger.getLogger(OperatorCalls.class.getName());

  private final Assembly parts;

  OperatorCalls(Assembly parts) {
    this.parts = parts;
  }

  @Override
  public boolean ready() {
    return parts.serving && !parts.shutdown.on() && !parts.fenced();
  }

  @Override
  public String audit(String page, Map<String, String> query) {
    return parts.auditing == null ? null : parts.auditing.page(page, query);
  }

  @Override
  public List<Figure> figures() {
    var all = new ArrayList<Figure>();
    boolean serving = parts.serving; // read once: the start may end between two looks at it
    var classes = new LinkedHashMap<String, long[]>();
    List<Served> fronts = serving ? parts.fronts : List.of();
    long tries = 0;
    long active = 0;
    Set<String> listed = new HashSet<>();
    Set<String> avoided = new HashSet<>();
    for (int i = 0; i < parts.planned.size(); i++) {
      tries += count(classes, parts.planned.get(i), serving ? fronts.get(i).core() : null);
    }
    if (!serving) { // all there is to come, at nought
      listed.addAll(parts.known);
      avoided.addAll(parts.store.under(Directory.DRAIN).keySet());
    }
    for (Served f : fronts) {
      active += f.core().unansweredCount();
      listed.addAll(f.members().ids());
      avoided.addAll(f.core().avoided());
    }
    classes.forEach(
        (name, n) -> {
          all.add(Figure.count("ok." + name, n[0]));
          all.add(Figure.count("shed." + name, n[1]));
          all.add(Figure.count("errors." + name, n[2]));
        });
    all.add(Figure.count("tries", tries));
    all.add(Figure.gauge("active", active));
    all.add(Figure.gauge("pool_size", listed.size()));
    avoided.retainAll(listed);
    all.add(Figure.gauge("pool_ejected", avoided.size()));
    if (serving && parts.peering.shared() != null) {
      parts.peering.shared().figures().forEach((name, n) -> all.add(Figure.gauge(name, n)));
      parts.peering.shared().counts().forEach((name, n) -> all.add(Figure.count(name, n)));
    }
    fronts.forEach(
        f -> f.core().moduleCounters().forEach((name, n) -> all.add(Figure.count(name, n))));
    if (parts.drainPropagation != null) {
      parts.drainPropagation.counts().forEach((name, n) -> all.add(Figure.count(name, n)));
    }
    if (parts.auditing != null) {
      parts.auditing.figures().forEach((name, n) -> all.add(Figure.gauge(name, n)));
      parts.auditing.counts().forEach((name, n) -> all.add(Figure.count(name, n)));
    }
    if (serving && parts.pooling != null) {
      parts.pooling.gauges().forEach((name, n) -> all.add(Figure.gauge(name, n)));
    }
    addMemory(all, parts.loop.memory());
    all.add(Figure.gauge("memory_peak_kib", ProcessMemory.peak()));
    all.add(Figure.gauge("loop_lag_ms", Math.round(parts.loop.recentLag())));
    all.add(Figure.gauge("loop_lag_most_ms", Math.round(parts.loop.mostLag())));
    return all;
  }

  private static void addMemory(List<Figure> all, MemoryBudget memory) {
    all.add(Figure.gauge("held_bytes_limit", memory.limit()));
    all.add(Figure.gauge("held_bytes", memory.total()));
    for (MemoryBudget.Use use : MemoryBudget.Use.values()) {
      all.add(Figure.gauge("held_bytes." + use.name().toLowerCase(Locale.ROOT), memory.held(use)));
    }
    all.add(Figure.count("held_refused", memory.refusals()));
    all.add(Figure.count("held_shed", memory.sheds()));
  }

  private static long count(
      Map<String, long[]> classes, Router.Settings settings, Pooler<?, ?> core) {
    for (int i = 0; i < settings.classes().size(); i++) {
      long[] n = classes.computeIfAbsent(settings.classes().get(i).name(), k -> new long[3]);
      n[0] += core == null ? 0 : core.stats().ok(i);
      n[1] += core == null ? 0 : core.stats().refused(i);
      n[2] += core == null ? 0 : core.stats().errors(i);
    }
    return core == null ? 0 : core.stats().attemptsWritten();
  }

  @Override
  public void disable(String id, Consumer<Done> told) {
    change(id, "disable", List.of(new Change(Directory.DRAIN + id, "by hand")), told);
  }

  /**
   * When it came back is kept with it: a process that starts soon after must not take it for a warm
   * one.
   */
  @Override
  public void enable(String id, Consumer<Done> told) {
    change(
        id,
        "enable",
        parts.store.get(Directory.DRAIN + id) == null
            ? List.of(new Change(Directory.DRAIN + id, null))
            : List.of(
                new Change(Directory.RETURNED + id, Long.toString((long) parts.loop.now())),
                new Change(Directory.DRAIN + id, null)),
        told);
  }

  /**
   * The operator's drain is the store's, whoever sets it; an id is known while it is listed or
   * drained. A process that is still starting takes it too: operators call the new one as soon as
   * it is there, and the one that serves hears of it through the file that both share. The yes
   * waits until that file holds it.
   */
  private void change(String id, String what, List<Change> changes, Consumer<Done> told) {
    boolean here =
        parts.serving
            ? parts.fronts.stream().anyMatch(f -> f.members().lists(id))
            : parts.known.contains(id);
    if (parts.store.get(Directory.DRAIN + id) == null && !here) {
      told.accept(parts.serving ? Done.UNKNOWN_ID : Done.NOT_NOW);
      return;
    }
    double called = parts.loop.now();
    parts.commits.commit(
        changes,
        result -> {
          boolean committed = result instanceof CommitResult.Committed;
          LOG.log(
              committed ? Level.INFO : Level.WARNING,
              "operator's call: "
                  + what
                  + " "
                  + id
                  + (committed ? " is in force after " : " is refused after ")
                  + Math.round(parts.loop.now() - called)
                  + " ms"
                  + reason(result));
          told.accept(committed ? Done.YES : Done.NOT_NOW);
        });
  }

  private static String reason(CommitResult result) {
    return result instanceof CommitResult.NotDurable e
        ? ": " + e.reason()
        : result instanceof CommitResult.Invalid e ? ": " + e.reason() : "";
  }

  @Override
  public Done drain() {
    return parts.shutdown.drain();
  }

  @Override
  public Done resume() {
    return parts.shutdown.resume();
  }
}
