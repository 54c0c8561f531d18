package crankspar.audit;

import crankspar.audit.Ledger.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * What several poolers tell of themselves, compared. Times of each are put on the asker's clock by
 * the offset that was measured; nothing is ordered more finely than the errors of those offsets.
 * Without I/O or clock.
 */
public final class Findings {
  /**
   * One pooler's pages. {@code offset} is its clock less the asker's, {@code error} by how much
   * that may be wrong (ms); both nought where its ledger's files were read. A {@code state} of
   * null: not known, as the pooler is dead.
   */
  public record View(
      String pooler,
      double offset,
      double error,
      String state,
      double listAge,
      List<String> classes,
      List<Stand> stands,
      List<Ledger.Row> rows,
      List<Ledger.Touch> touches,
      List<Auditor.Notice> notices) {
    public View {
      stands = List.copyOf(stands);
      rows = List.copyOf(rows);
      touches = List.copyOf(touches);
      notices = List.copyOf(notices);
    }

    public Stand now() {
      return stands.get(stands.size() - 1);
    }

    /** A time of its own clock on the asker's. */
    public double at(double theirs) {
      return theirs - offset;
    }
  }

  /**
   * {@code behind}: for how long (ms) others have had the list that most have, and this one not;
   * nought where it has it.
   */
  public record Line(View view, double behind, boolean sameBuild, boolean sameConfiguration) {}

  /**
   * A span in which poolers acted on different versions; {@code end} is NaN where it lasts. {@code
   * by} names who was on what.
   */
  public record Conflict(
      double begin,
      double end,
      double error,
      Map<String, List<String>> by,
      List<String> requests,
      long sends) {
    public double length(double now) {
      return (Double.isNaN(end) ? now : end) - begin;
    }
  }

  /**
   * One pooler's sends to a database, against when it was told. {@code late} is how long after that
   * the last one was, less the bound.
   */
  public record Sends(
      String pooler,
      String origin,
      double told,
      long before,
      long after,
      double last,
      double late) {}

  /** The rule's bound for work after a drain was told (ms). */
  public static final double DRAIN_MOST = 250;

  private Findings() {}

  /** Every pooler against the most and the newest of them. */
  public static List<Line> fleet(List<View> views, double now) {
    Stand newest =
        views.stream().map(View::now).max(Comparator.comparingDouble(Stand::at)).orElse(null);
    // The list that most hold; of two that as many hold, the one taken up last.
    Map<List<Object>, Long> held =
        views.stream()
            .collect(
                Collectors.groupingBy(
                    v -> List.<Object>of(v.now().revision(), v.now().content()),
                    Collectors.counting()));
    List<Object> usual =
        held.entrySet().stream()
            .max(
                Map.Entry.<List<Object>, Long>comparingByValue()
                    .thenComparing(e -> taken(views, e.getKey())))
            .map(Map.Entry::getKey)
            .orElse(List.of());
    var lines = new ArrayList<Line>();
    for (View v : views) {
      boolean same = List.<Object>of(v.now().revision(), v.now().content()).equals(usual);
      double since =
          views.stream()
              .filter(o -> List.<Object>of(o.now().revision(), o.now().content()).equals(usual))
              .mapToDouble(o -> o.at(listTaken(o)))
              .min()
              .orElse(0);
      lines.add(
          new Line(
              v,
              same ? 0 : Math.max(0, now - since),
              newest == null || v.now().build().equals(newest.build()),
              newest == null || v.now().configuration() == newest.configuration()));
    }
    return lines;
  }

  private static double taken(List<View> views, List<Object> key) {
    return views.stream()
        .filter(v -> List.<Object>of(v.now().revision(), v.now().content()).equals(key))
        .mapToDouble(v -> v.at(listTaken(v)))
        .max()
        .orElse(0);
  }

  /** When the list that it has now came in force there, on its own clock. */
  private static double listTaken(View v) {
    double at = v.now().at();
    for (int i = v.stands().size() - 1; i >= 0 && v.stands().get(i).sameList(v.now()); i--) {
      at = v.stands().get(i).at();
    }
    return at;
  }

  /**
   * Spans in which two poolers acted on different versions of list, marks, configuration or build,
   * longest first.
   */
  public static List<Conflict> conflicts(List<View> views, double now) {
    record Change(double at, View view, Stand stand) {}
    var changes = new ArrayList<Change>();
    for (View v : views) {
      v.stands().forEach(s -> changes.add(new Change(v.at(s.at()), v, s)));
    }
    changes.sort(Comparator.comparingDouble(Change::at));
    double error = views.stream().mapToDouble(View::error).max().orElse(0) * 2;
    var present = new HashMap<View, Stand>();
    var found = new ArrayList<Conflict>();
    double begin = Double.NaN;
    Map<String, List<String>> by = new TreeMap<>();
    for (Change c : changes) {
      if (!Double.isNaN(begin)) {
        note(by, present);
      }
      present.put(c.view(), c.stand());
      boolean differ = present.values().stream().anyMatch(s -> !s.sameVersions(c.stand()));
      if (differ && Double.isNaN(begin)) {
        begin = c.at();
        by = new TreeMap<>();
      }
      if (differ) {
        note(by, present);
      } else if (!Double.isNaN(begin)) {
        add(found, views, begin, c.at(), c.at(), error, by);
        begin = Double.NaN;
      }
    }
    if (!Double.isNaN(begin)) {
      add(found, views, begin, Double.NaN, now, error, by);
    }
    found.sort(Comparator.comparingDouble((Conflict c) -> -c.length(now)));
    return found;
  }

  private static void note(Map<String, List<String>> by, Map<View, Stand> present) {
    present.forEach(
        (v, s) -> {
          List<String> who = by.computeIfAbsent(version(s), k -> new ArrayList<>());
          if (!who.contains(v.pooler())) {
            who.add(v.pooler());
          }
        });
  }

  /** In a few words, the same for the same versions. */
  public static String version(Stand s) {
    return "list "
        + s.revision()
        + "/"
        + Integer.toHexString(s.content())
        + " marks "
        + Integer.toHexString(s.marked())
        + " conf "
        + Integer.toHexString(s.configuration())
        + " build "
        + s.build();
  }

  private static void add(
      List<Conflict> found,
      List<View> views,
      double begin,
      double end,
      double until,
      double error,
      Map<String, List<String>> by) {
    if (until - begin <= error) {
      return; // no longer than the clocks can tell
    }
    var requests = new TreeSet<String>();
    long sends = 0;
    for (View v : views) {
      for (Ledger.Touch t : v.touches()) {
        if (t.kind() == Kind.SENT && v.at(t.at()) >= begin && v.at(t.at()) <= until) {
          requests.add(t.request());
          sends++;
        }
      }
    }
    found.add(new Conflict(begin, end, error, by, List.copyOf(requests), sends));
  }

  /** Who touched a request, in time as far as the clocks tell. */
  public static List<Map.Entry<View, Ledger.Touch>> request(List<View> views, String id) {
    var all = new ArrayList<Map.Entry<View, Ledger.Touch>>();
    views.forEach(
        v ->
            v.touches().stream()
                .filter(t -> t.request().equals(id))
                .forEach(t -> all.add(Map.entry(v, t))));
    all.sort(Comparator.comparingDouble(e -> e.getKey().at(e.getValue().at())));
    return all;
  }

  /**
   * Sends to a database by each pooler, against when that pooler was told that it drains: one line
   * for each such time, and one for a pooler that never was. Sends one by one where they are still
   * kept, else by the rows' first and last.
   */
  public static List<Sends> database(List<View> views, String id) {
    var all = new ArrayList<Sends>();
    for (View v : views) {
      List<Auditor.Notice> of = v.notices().stream().filter(n -> n.database().equals(id)).toList();
      boolean told = false;
      for (int i = 0; i < of.size(); i++) {
        Auditor.Notice n = of.get(i);
        if (!n.drains() || told) {
          told = n.drains();
          continue;
        }
        told = true;
        double until = Double.POSITIVE_INFINITY;
        for (int j = i + 1; j < of.size(); j++) {
          if (!of.get(j).drains()) {
            until = of.get(j).at();
            break;
          }
        }
        all.add(sends(v, id, n, until));
      }
      if (of.stream().noneMatch(Auditor.Notice::drains)) {
        all.add(sends(v, id, null, Double.POSITIVE_INFINITY));
      }
    }
    return all;
  }

  private static Sends sends(View v, String id, Auditor.Notice n, double until) {
    double told = n == null ? Double.POSITIVE_INFINITY : n.at();
    long total =
        v.rows().stream().filter(r -> r.database.equals(id)).mapToLong(Ledger.Row::sends).sum();
    double last =
        v.rows().stream()
            .filter(r -> r.database.equals(id) && r.first < until)
            .mapToDouble(r -> r.last < until ? r.last : r.first)
            .max()
            .orElse(Double.NaN);
    long after = 0;
    double lastOne = Double.NaN;
    for (Ledger.Touch t : v.touches()) {
      if (t.kind() == Kind.SENT && t.database().equals(id) && t.at() < until) {
        after += t.at() > told ? 1 : 0;
        lastOne = t.at();
      }
    }
    double latest = Double.isNaN(lastOne) ? last : lastOne;
    return new Sends(
        v.pooler(),
        n == null ? "never told" : n.origin().name().toLowerCase(java.util.Locale.ROOT),
        n == null ? Double.NaN : v.at(told),
        total - after,
        after,
        Double.isNaN(latest) ? Double.NaN : v.at(latest),
        n == null || Double.isNaN(latest) ? 0 : Math.max(0, latest - told - DRAIN_MOST));
  }
}
