package crankspar.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.config.Config;
import crankspar.net.ScriptedPeer;
import crankspar.net.ScriptedPeer.Wire;
import crankspar.pg.Pg;
import crankspar.pg.PgMessage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The project's own variants of a deployment ({@code deploy/sites}): the program serves each, and
 * knows none by name.
 */
class SitesTest {
  private static final Path SITES = Path.of("deploy", "sites");

  /**
   * Class, zone and site names of deployments that the program has been run for; a customer's words
   * are no program's.
   */
  private static final List<String> FOREIGN =
      List.of(
          "scoreboard",
          "my-roster",
          "waiver-check",
          "season-report",
          "trade-claim",
          "burnaby",
          "vancouver");

  @TempDir Path dir;

  /** The tables of a site file, in their order: as much of TOML as such files use. */
  private record Table(String name, Map<String, String> values) {
    String text(String key) {
      return values.get(key).replace("\"", "");
    }

    double number(String key) {
      return Double.parseDouble(values.get(key));
    }
  }

  private static List<Table> read(String site) throws IOException {
    var all = new ArrayList<>(List.of(new Table("", new LinkedHashMap<>())));
    for (String line : Files.readAllLines(SITES.resolve(site).resolve("site.toml"))) {
      var head = Pattern.compile("\\[+([a-z._]+)\\]+").matcher(line.strip());
      if (head.matches()) {
        all.add(new Table(head.group(1), new LinkedHashMap<>()));
      } else if (line.contains("=")) {
        String[] pair = line.split("=", 2);
        all.get(all.size() - 1).values().put(pair[0].strip(), pair[1].strip());
      }
    }
    return all;
  }

  private static Table one(List<Table> tables, String name) {
    return tables.stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
  }

  private static List<Table> every(List<Table> tables, String name) {
    return tables.stream().filter(t -> t.name().equals(name)).toList();
  }

  /** The settings object that a pooler of this site is given, as far as the site decides it. */
  private static String settings(List<Table> site) {
    Table rules = one(site, "rules");
    Table allow = one(site, "allow");
    var classes = new ArrayList<String>();
    for (Table c : every(site, "class")) {
      classes.add(
          "{\"DedupScope\": \"all\", \"Gain\": %s, \"GiveUp\": %s, \"Idempotency\": \"%s\", \"KeyTtl\": %s, \"LateValue\": %s, \"Name\": \"%s\", \"Target\": %s}"
              .formatted(
                  c.values().get("worth"),
                  c.values().get("deadline_ms"),
                  Map.of("safe", "pure", "keyed", "token", "unsafe", "side_effect")
                      .get(c.text("effect")),
                  c.values().getOrDefault("window_ms", "5000"),
                  c.values().get("late_worth"),
                  c.text("name"),
                  c.values().get("aim_ms")));
    }
    List<Table> levels = every(site, "fam.class");
    String zones = one(site, "net").values().get("zones");
    return "{\"Classes\": ["
        + String.join(", ", classes)
        + "], \"Discovery\": \""
        + (one(site, "discovery").text("mode").equals("push") ? "pushed" : "on_request")
        + "\", \"Domain\": {\"Behind\": \"off\", \"ClassBound\": ["
        + String.join(
            ", ", levels.stream().map(l -> l.values().getOrDefault("bound_ms", "0")).toList())
        + "], \"CommitWaits\": false, \"CountedFrom\": 0.0, \"Patience\": 0.0, \"ReadLevel\": ["
        + String.join(", ", levels.stream().map(l -> l.values().get("read")).toList())
        + "], \"RoleInList\": \"late\", \"SessionMarks\": \""
        + one(site, "fam").text("tokens")
        + "\", \"TellsPosition\": true}, \"Guarantees\": {\"AnswerSlack\": 20.0, \"AskEvery\": "
        + rules.values().get("ask_within_ms")
        + ", \"ColdFrom\": 0.2, \"DrainGrace\": "
        + rules.values().get("drain_grace_ms")
        + ", \"Fall\": "
        + rules.values().get("fall_ms")
        + ", \"FallMultiple\": "
        + rules.values().get("fall_multiple")
        + ", \"RampTime\": 9000.0}, \"Limits\": {\"Cancelling\": "
        + allow.values().get("cancel")
        + ", \"ConnIdle\": "
        + 1000 * one(site, "tier.conn").number("idle_s")
        + ", \"DialTimeout\": 250.0, \"MaxOpen\": 20000, "
        + "\"MaxRetryAfter\": "
        + one(site, "clients").values().get("max_retry_after_ms")
        + ", \"MayDuplicate\": "
        + allow.values().get("second_copies")
        + ", \"MostTries\": "
        + allow.values().get("max_attempts")
        + ", \"Probes\": true, \"RetryAfter\": "
        + allow.values().get("retry_after")
        + "}, \"Locality\": "
        + zones.replaceAll("\\[(\"[^\"]+\").*", "$1")
        + ", \"MyNumber\": 0, \"Prices\": {\"Probe\": 0.02}, \"Report\": {\"Fields\": [\"x0\"], \"How\": \""
        + (one(site, "tier.report").text("how").equals("answers") ? "inline" : "on_probe")
        + "\"}, \"Round\": 5.0, \"Siblings\": 3, \"Zones\": "
        + zones
        + "}";
  }

  @ParameterizedTest
  @ValueSource(strings = {"pushed-tight", "asked-windows"})
  void itServesEachClassOfASite(String name) throws Exception {
    List<Table> site = read(name);
    assertThat(one(site, "").text("name")).isEqualTo(name);
    try (var server =
        new ScriptedPeer(
            wire ->
                Pg.serve(
                    wire,
                    (pg, sql) ->
                        pg.row(
                            sql.startsWith("SHOW")
                                ? "x0=" + System.currentTimeMillis() / 1000.0 + ",x1=1"
                                : "v",
                            System.currentTimeMillis())))) {
      String list =
          "{\"revision\":7,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:"
              + server.address().getPort()
              + "\",\"locality\":"
              + one(site, "net").values().get("zones").replaceAll("\\[(\"[^\"]+\").*", "$1")
              + ",\"flavor\":\"m\",\"cell\":2,\"phase\":\"up\",\"size\":1.0,\"up_since_ms\":0,"
              + "\"role\":\"primary\"}]}\n";
      try (var discovery =
          new ScriptedPeer(
              wire -> {
                wire.http();
                wire.send(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(list.length())
                        + "\r\n"
                        + list
                        + "\r\n");
                wire.http(); // stands until the pooler ends
              })) {
        Path file =
            Files.writeString(
                dir.resolve("config.json"),
                "{\"name\":\"n3\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                    + discovery.address().getPort()
                    + "\",\"limits\":{\"cores\":0.5,\"memory_mb\":96,\"sockets\":160},\"settings\":"
                    + settings(site)
                    + "}");
        try (var daemon =
                new Daemon(Config.read(Map.of("BALANCER_CONFIG", file.toString())), null, dir);
            Wire wire = Wire.to(daemon.pgAddress())) {
          Pg client = Pg.welcomed(wire);
          int i = 0;
          for (Table c : every(site, "class")) {
            boolean write = every(site, "fam.class").get(i++).text("read").equals("write");
            List<PgMessage> answer = List.of();
            for (int tries = 0;
                answer.size() != 3 && tries < 20;
                tries++) { // before the list is here it is refused
              answer =
                  client.ask(
                      "/* id="
                          + c.text("name")
                          + tries
                          + ",c="
                          + c.text("name")
                          + ",d="
                          + c.values().get("deadline_ms")
                          + ",cluster=2 */ "
                          + (write
                              ? "INSERT INTO state (uid, val) VALUES ('u', 'v') RETURNING val"
                              : "SELECT val FROM state WHERE uid = 'u'"));
            }
            assertThat(answer).as(c.text("name")).hasSize(3);
          }
        }
      }
    }
  }

  /** Nothing is keyed to an operator, site, class or zone. */
  @Test
  void noDeploymentsNamesStandInTheProgram() throws IOException {
    var names = new ArrayList<>(FOREIGN);
    for (String site : List.of("pushed-tight", "asked-windows")) {
      List<Table> tables = read(site);
      names.add(site);
      every(tables, "class").forEach(c -> names.add(c.text("name")));
      Pattern.compile("\"([^\"]+)\"")
          .matcher(one(tables, "net").values().get("zones"))
          .results()
          .forEach(z -> names.add(z.group(1)));
    }
    var word = Pattern.compile("(?<![A-Za-z])(" + String.join("|", names) + ")(?![A-Za-z])");
    try (Stream<Path> main = Files.walk(Path.of("src", "main"));
        Stream<Path> files = Stream.concat(main, Stream.of(Path.of("deploy", "balancer.toml")))) {
      for (Path f : files.filter(Files::isRegularFile).toList()) {
        assertThat(word.matcher(Files.readString(f)).results().map(m -> m.group()).toList())
            .as(f.toString())
            .isEmpty();
      }
    }
  }
}
