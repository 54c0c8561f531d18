package crankspar.cli;

import com.fasterxml.jackson.core.JsonGenerator;
import crankspar.audit.Asked;
import crankspar.audit.Findings;
import crankspar.audit.Ledger;
import crankspar.audit.Stand;
import crankspar.audit.Standing;
import crankspar.audit.StandingSettings;
import crankspar.json.Json;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code crankspar audit}: asks all poolers, or reads ledgers of the dead, and compares. */
@Command(
    name = "audit",
    description =
        "Which pooler acted on which version of what. Exit 1 where a rule's bound was passed, 3 where a pooler could not be asked.",
    synopsisSubcommandLabel = "COMMAND",
    mixinStandardHelpOptions = true)
public final class AuditCommand implements Runnable {
  private static final int BOUND_PASSED = 1;
  private static final int MUTE = 3;
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Where to look, and how to print. */
  static final class From {
    @Option(
        names = "--poolers",
        split = ",",
        paramLabel = "HOST:PORT",
        description = "the poolers' addresses for operators' calls (mgmt)")
    List<String> poolers = List.of();

    @Option(
        names = "--files",
        arity = "1..*",
        paramLabel = "DIR",
        description = "folders with ledgers of the dead")
    List<Path> files = List.of();

    @Option(names = "--json", description = "for programs")
    boolean json;
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  /** What was found, as rows with the same columns. */
  private record Table(List<Map<String, Object>> rows, boolean passed) {}

  private interface Question {
    Table ask(List<Findings.View> views, double now);
  }

  private int answer(From from, Question question) {
    if (from.poolers.isEmpty() && from.files.isEmpty()) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--poolers or --files is missing");
    }
    var views = new ArrayList<Findings.View>();
    var mute = new LinkedHashMap<String, String>();
    var asked = from.poolers.isEmpty() ? null : new Asked();
    for (String p : from.poolers) {
      try {
        views.add(asked.view(p));
      } catch (Asked.Mute e) {
        mute.put(p, e.getMessage());
      }
    }
    for (Path f : from.files) {
      try {
        views.addAll(Asked.files(f));
      } catch (IOException e) {
        mute.put(f.toString(), e.getMessage());
      }
    }
    Table t = question.ask(views, (double) System.currentTimeMillis());
    PrintWriter out = spec.commandLine().getOut();
    if (from.json) {
      out.println(json(t, mute));
    } else {
      print(out, t.rows());
      mute.forEach(
          (who, why) -> spec.commandLine().getErr().println("not asked: " + who + ": " + why));
    }
    out.flush();
    return t.passed() ? BOUND_PASSED : mute.isEmpty() ? 0 : MUTE;
  }

  @Command(
      description =
          "Every pooler: build, configuration, list, marks, by how much it is behind, its state and its clock.")
  int fleet(@CommandLine.Mixin From from) {
    return answer(
        from,
        (views, now) -> {
          var rows = new ArrayList<Map<String, Object>>();
          boolean passed = false;
          for (Findings.Line l : Findings.fleet(views, now)) {
            Stand s = l.view().now();
            var r = new LinkedHashMap<String, Object>();
            r.put("pooler", l.view().pooler());
            r.put("state", l.view().state() == null ? "dead" : l.view().state());
            r.put("build", s.build() + (l.sameBuild() ? "" : " (another)"));
            r.put(
                "configuration",
                Integer.toHexString(s.configuration())
                    + (l.sameConfiguration() ? "" : " (another)"));
            r.put("list", s.revision() + "/" + Integer.toHexString(s.content()));
            r.put("marks", s.marks());
            r.put("behind_ms", Math.round(l.behind()));
            r.put(
                "list_age_ms",
                Double.isNaN(l.view().listAge()) ? "-" : Math.round(l.view().listAge()));
            r.put("clock_ms", Math.round(l.view().offset()));
            r.put("clock_error_ms", Math.round(Math.ceil(l.view().error())));
            rows.add(r);
            passed |=
                l.behind() > StandingSettings.LEASE
                    && l.view().state() != null
                    && !l.view().state().equals(Standing.State.FENCED.word())
                    && !l.view().state().equals(Standing.State.RETURNING.word());
          }
          return new Table(rows, passed);
        });
  }

  @Command(
      description =
          "One number of each pooler's stands, with all that it was made of; 0 stands for the present one.")
  int stand(@Parameters(paramLabel = "N") int number, @CommandLine.Mixin From from) {
    return answer(
        from,
        (views, now) -> {
          var rows = new ArrayList<Map<String, Object>>();
          for (Findings.View v : views) {
            for (Stand s : v.stands()) {
              if (s.number() == number
                  || number == 0 && s == v.stands().get(v.stands().size() - 1)) {
                var r = new LinkedHashMap<String, Object>();
                r.put("pooler", v.pooler());
                r.put("stand", s.number());
                r.put("since", time(s.at() - v.offset()));
                r.put("from", s.origin().name().toLowerCase(Locale.ROOT));
                r.put("build", s.build());
                r.put(
                    "configuration",
                    Integer.toHexString(s.configuration()) + " #" + s.generation());
                r.put("discovery", s.discovery() + " #" + s.epoch());
                r.put("list", s.revision() + "/" + Integer.toHexString(s.content()));
                r.put("marks", s.marks() + "/" + Integer.toHexString(s.marked()));
                r.put("primaries", Integer.toHexString(s.primaries()));
                r.put(
                    "sends",
                    v.rows().stream()
                        .filter(row -> row.stand == s.number())
                        .mapToLong(Ledger.Row::sends)
                        .sum());
                rows.add(r);
              }
            }
          }
          return new Table(rows, false);
        });
  }

  @Command(
      description =
          "Which poolers touched a request, on which stand, sent it where, answered it how. The last 4096 touches of each are kept.")
  int request(@Parameters(paramLabel = "ID") String id, @CommandLine.Mixin From from) {
    return answer(
        from,
        (views, now) -> {
          var rows = new ArrayList<Map<String, Object>>();
          for (Map.Entry<Findings.View, Ledger.Touch> e : Findings.request(views, id)) {
            Ledger.Touch t = e.getValue();
            var r = new LinkedHashMap<String, Object>();
            r.put("at", time(t.at() - e.getKey().offset()));
            r.put("error_ms", Math.round(Math.ceil(e.getKey().error())));
            r.put("pooler", e.getKey().pooler());
            r.put("stand", t.stand());
            r.put("what", t.kind().name().toLowerCase(Locale.ROOT));
            r.put("database", t.database());
            r.put(
                "class",
                t.requestClass() < e.getKey().classes().size()
                    ? e.getKey().classes().get(t.requestClass())
                    : t.requestClass());
            rows.add(r);
          }
          return new Table(rows, false);
        });
  }

  @Command(
      description =
          "Who sent to a database when, against when each was told that it drains. Exit 1 where one sent on beyond 250 ms.")
  int database(@Parameters(paramLabel = "ID") String id, @CommandLine.Mixin From from) {
    return answer(
        from,
        (views, now) -> {
          var rows = new ArrayList<Map<String, Object>>();
          boolean passed = false;
          for (Findings.Sends s : Findings.database(views, id)) {
            var r = new LinkedHashMap<String, Object>();
            r.put("pooler", s.pooler());
            r.put("told", Double.isNaN(s.told()) ? "-" : time(s.told()));
            r.put("by", s.origin());
            r.put("sent_before", s.before());
            r.put("sent_after", s.after());
            r.put("last", Double.isNaN(s.last()) ? "-" : time(s.last()));
            r.put("beyond_ms", Math.round(Math.ceil(s.late())));
            rows.add(r);
            passed |= s.late() > 0;
          }
          return new Table(rows, passed);
        });
  }

  @Command(
      description =
          "Spans in which two poolers acted on different versions, longest first, with the requests in them. Exit 1 where both sent for over 6 s.")
  int conflicts(@CommandLine.Mixin From from) {
    return answer(
        from,
        (views, now) -> {
          var rows = new ArrayList<Map<String, Object>>();
          boolean passed = false;
          for (Findings.Conflict c : Findings.conflicts(views, now)) {
            var r = new LinkedHashMap<String, Object>();
            r.put("begin", time(c.begin()));
            r.put(
                "length_ms", Math.round(c.length(now)) + (Double.isNaN(c.end()) ? " and on" : ""));
            r.put("error_ms", Math.round(Math.ceil(c.error())));
            r.put("versions", new TreeMap<>(c.by()).toString());
            r.put("sends", c.sends());
            r.put(
                "requests",
                c.requests().size() <= 5 || from.json
                    ? String.join(" ", c.requests())
                    : String.join(" ", c.requests().subList(0, 5)) + " ...");
            rows.add(r);
            passed |= c.sends() > 0 && c.length(now) > StandingSettings.LEASE;
          }
          return new Table(rows, passed);
        });
  }

  private static String time(double at) {
    return TIME.format(Instant.ofEpochMilli(Math.round(at)));
  }

  private static void print(PrintWriter out, List<Map<String, Object>> rows) {
    if (rows.isEmpty()) {
      out.println("nothing");
      return;
    }
    var width = new LinkedHashMap<String, Integer>();
    rows.get(0).keySet().forEach(k -> width.put(k, k.length()));
    rows.forEach(r -> r.forEach((k, v) -> width.merge(k, String.valueOf(v).length(), Math::max)));
    var head = new StringBuilder();
    width.forEach((k, w) -> head.append(k).append(" ".repeat(w - k.length() + 2)));
    out.println(head.toString().stripTrailing());
    for (Map<String, Object> r : rows) {
      var line = new StringBuilder();
      width.forEach(
          (k, w) ->
              line.append(r.get(k)).append(" ".repeat(w - String.valueOf(r.get(k)).length() + 2)));
      out.println(line.toString().stripTrailing());
    }
  }

  private static String json(Table t, Map<String, String> mute) {
    var text = new StringWriter();
    try (JsonGenerator g = Json.FACTORY.createGenerator(text)) {
      g.writeStartObject();
      g.writeArrayFieldStart("rows");
      for (Map<String, Object> r : t.rows()) {
        g.writeStartObject();
        for (Map.Entry<String, Object> e : r.entrySet()) {
          g.writeFieldName(e.getKey());
          if (e.getValue() instanceof Number n) {
            g.writeNumber(n.longValue());
          } else {
            g.writeString(String.valueOf(e.getValue()));
          }
        }
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeBooleanField("bound_passed", t.passed());
      g.writeObjectFieldStart("not_asked");
      for (Map.Entry<String, String> e : mute.entrySet()) {
        g.writeStringField(e.getKey(), e.getValue());
      }
      g.writeEndObject();
      g.writeEndObject();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    return text.toString();
  }
}
