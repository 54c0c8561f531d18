package crankspar.lab.load;

import crankspar.config.Config;
import crankspar.config.OperatorFile;
import crankspar.config.Section;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads a workload's file (HOCON); faults are one line with file, line and key, as in the
 * operator's file.
 */
public final class WorkloadReader {
  private static final double DAY = 86_400_000;

  private WorkloadReader() {}

  public static Workload read(Path file) throws Config.Bad {
    return read(OperatorFile.read(file, new ArrayList<>()));
  }

  /** The same under a key of another file. */
  public static Workload read(Section w) throws Config.Bad {
    var kinds = new ArrayList<Workload.Kind>();
    for (Map.Entry<String, Section> e : w.parts("classes").entrySet()) {
      Section c = e.getValue();
      kinds.add(
          new Workload.Kind(
              e.getKey(),
              c.number("share", 1, 0, 1e9),
              c.millis("give-up", 1000, 1, DAY),
              c.flag("write", false),
              c.text("sql"),
              c.word(
                  "check",
                  "none",
                  Map.of(
                      "none",
                      Workload.Check.NONE,
                      "bound",
                      Workload.Check.BOUND,
                      "session",
                      Workload.Check.SESSION)),
              c.millis("bound", 300, 0, DAY),
              c.count("retries", 0, 0, 10),
              c.millis("wait", 50, 0, DAY)));
      c.done();
    }
    if (kinds.isEmpty()) {
      throw w.bad("classes", "found none, allowed is one at least");
    }
    var shapes = new ArrayList<Shape>();
    for (Map.Entry<String, Section> e : w.parts("arrivals").entrySet()) {
      shapes.add(shape(e.getValue()));
    }
    if (shapes.isEmpty()) {
      throw w.bad("arrivals", "found none, allowed is one at least");
    }
    var workload =
        new Workload(
            kinds,
            shapes,
            w.flag("even", false),
            w.count("sessions", 1000, 1, 10_000_000),
            w.count("groups", 1, 1, 100_000),
            w.millis("duration", 10_000, 100, DAY),
            w.count("seed", 1, 0, 999_999_999),
            w.word(
                "front",
                "simple",
                Map.of(
                    "platform",
                    Workload.Front.PLATFORM,
                    "simple",
                    Workload.Front.SIMPLE,
                    "prepared",
                    Workload.Front.PREPARED,
                    "rest",
                    Workload.Front.REST)),
            w.count("connections", 100, 1, 50_000),
            w.millis("late", 1, 0, 60_000),
            w.number("late-share", 0.01, 0, 1));
    w.done();
    return workload;
  }

  private static Shape shape(Section s) throws Config.Bad {
    String kind =
        s.word(
            "shape",
            "constant",
            Map.of(
                "constant",
                "constant",
                "wave",
                "wave",
                "step",
                "step",
                "spike",
                "spike",
                "bursts",
                "bursts"));
    Shape shape =
        switch (kind) {
          case "wave" ->
              new Shape.Wave(
                  s.number("rate", 100, 0, 1e7),
                  s.number("swing", 0.5, 0, 1),
                  s.millis("period", 10_000, 1, DAY));
          case "step" ->
              new Shape.Step(
                  s.millis("at", 5000, 0, DAY),
                  s.number("before", 0, 0, 1e7),
                  s.number("after", 100, 0, 1e7));
          case "spike" ->
              new Shape.Spike(
                  s.millis("at", 5000, 0, DAY),
                  s.millis("rise", 3000, 1, DAY),
                  s.number("peak", 1000, 0, 1e7));
          case "bursts" ->
              new Shape.Bursts(
                  s.number("rate", 1000, 0, 1e7),
                  s.millis("period", 1000, 1, DAY),
                  s.millis("on", 100, 0, DAY));
          default -> new Shape.Constant(s.number("rate", 100, 0, 1e7));
        };
    s.done();
    return shape;
  }

  /** One class asking at one rate, for experiments of our own. */
  public static Workload plain(
      List<Workload.Kind> kinds,
      double rate,
      double duration,
      long seed,
      Workload.Front front,
      int connections) {
    return new Workload(
        kinds,
        List.of(new Shape.Constant(rate)),
        false,
        1000,
        1,
        duration,
        seed,
        front,
        connections,
        1,
        0.01);
  }
}
