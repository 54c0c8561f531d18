package crankspar.lab.rig;

import crankspar.config.Config;
import crankspar.config.OperatorFile;
import crankspar.config.Section;
import crankspar.lab.load.Workload;
import crankspar.lab.load.WorkloadReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who is there, what is asked, and what goes wrong when: a scenario's file (HOCON). Faults are one
 * line with file, line and key.
 */
public record Scenario(
    String name, Rig.Parties parties, Workload load, List<Step> steps, long seed) {
  /** What goes wrong. The words of a file are these in small letters with hyphens. */
  public enum Fault {
    // On a process; how = a jar for START of another version.
    KILL,
    STOP,
    CONTINUE,
    TERMINATE,
    START,
    CONFIGURE,
    // On a link, either way or both: discovery (of a pooler), database (of a pooler, or of all),
    // clients (of a pooler).
    CUT,
    STALL_THERE,
    STALL_BACK,
    DELAY,
    SLOW_LINK,
    RESET,
    REFUSE,
    HEAL,
    // On datagrams between poolers.
    LOSE,
    DOUBLE,
    LATE_DATAGRAMS,
    MUTE,
    PART,
    HEAR,
    // On discovery.
    DISCOVERY_DOWN,
    DISCOVERY_UP,
    OVERBOOK,
    LATE_LISTS,
    OLD_LIST,
    RENUMBER,
    // On a database.
    CRASH,
    RETURN,
    DRAIN,
    UNDRAIN,
    SLOW,
    HAND_OVER;

    String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /**
   * One step of the timeline: at a time (ms from the load's begin) a fault strikes whom it names,
   * harder by {@code factor}. One that lasts is taken back after so long; {@code lasts} of nought
   * is for good.
   */
  public record Step(
      String name,
      double at,
      Fault fault,
      List<String> who,
      String link,
      double factor,
      double lasts,
      String how) {}

  private static final double DAY = 86_400_000;

  public static Scenario read(Path file) throws Config.Bad {
    Section s = OperatorFile.read(file, new ArrayList<>());
    String operator = null;
    String named = s.text("operator", null);
    if (named != null) {
      try {
        operator = Files.readString(file.resolveSibling(named));
      } catch (IOException e) {
        throw s.bad("operator", "cannot be read: " + named);
      }
    } else if (s.flag("audit", false)) {
      operator = Rig.Parties.AUDITED;
    }
    String jar = s.text("jar", null);
    var parties =
        new Rig.Parties(
            s.count("poolers", 3, 1, 16),
            s.count("groups", 1, 1, 20),
            s.count("replicas", 2, 0, 10),
            s.millis("work", 5, 0, 60_000),
            s.count("cores", 3, 1, 64),
            operator,
            jar == null ? null : Path.of(jar),
            s.millis("discovery-each", 0, 0, DAY),
            s.millis("discovery-wait", 2000, 1, DAY),
            s.flag("pushed", false));
    Map<String, Section> load = s.parts("loads");
    if (load.size() != 1) {
      throw s.bad("loads", "found " + load.size() + ", allowed is one");
    }
    Workload w = WorkloadReader.read(load.values().iterator().next());
    var words = new TreeMap<String, Fault>();
    Arrays.stream(Fault.values()).forEach(f -> words.put(f.word(), f));
    var steps = new ArrayList<Step>();
    for (Map.Entry<String, Section> e : s.parts("timeline").entrySet()) {
      Section t = e.getValue();
      var step =
          new Step(
              e.getKey(),
              t.millis("at", 0, 0, DAY),
              t.word("fault", "", words),
              List.of(t.text("who", "").split(",")),
              t.word(
                  "link",
                  "discovery",
                  Map.of("discovery", "discovery", "database", "database", "clients", "clients")),
              t.number("factor", 1, 0, 1e6),
              t.millis("lasts", 0, 0, DAY),
              t.text("how", ""));
      check(t, step, parties);
      t.done();
      steps.add(step);
    }
    steps.sort(Comparator.comparingDouble(Step::at));
    var scenario =
        new Scenario(
            s.text("name", file.getFileName().toString()),
            parties,
            w,
            List.copyOf(steps),
            s.count("seed", 1, 0, 999_999_999));
    s.done();
    return scenario;
  }

  /** A step that names nobody who is there is an error, not a step that does nothing. */
  private static void check(Section t, Step step, Rig.Parties parties) throws Config.Bad {
    boolean database = step.fault().ordinal() >= Fault.CRASH.ordinal();
    boolean discovery = !database && step.fault().ordinal() >= Fault.DISCOVERY_DOWN.ordinal();
    for (String who : step.who()) {
      boolean pooler =
          who.matches("p[0-9]{1,2}") && Integer.parseInt(who.substring(1)) < parties.poolers();
      boolean known =
          discovery
              ? who.isEmpty()
              : database ? who.matches("db-([0-9]{1,2}-)?[0-9]{1,2}") : pooler || who.equals("all");
      if (!known) {
        throw t.bad(
            "who",
            "found "
                + who
                + ", allowed "
                + (discovery
                    ? "is none"
                    : database
                        ? "are databases, such as db-0"
                        : "are poolers, p0 to p" + (parties.poolers() - 1) + ", or all"));
      }
    }
  }

  public Scenario seed(long other) {
    return new Scenario(name, parties, load, steps, other);
  }

  public Scenario steps(List<Step> others) {
    return new Scenario(name, parties, load, List.copyOf(others), seed);
  }

  /** The poolers that a step names. */
  static List<Integer> poolers(Step s, int all) {
    var numbers = new ArrayList<Integer>();
    for (String who : s.who()) {
      if (who.equals("all")) {
        for (int i = 0; i < all; i++) {
          numbers.add(i);
        }
      } else {
        numbers.add(Integer.parseInt(who.substring(1)));
      }
    }
    return numbers;
  }
}
