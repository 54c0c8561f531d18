package crankspar.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import crankspar.TestSettings;
import crankspar.config.Config;
import crankspar.config.Operator;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a bad configuration that ends in a trace, or in nothing said: one line names the
 * key.
 */
class CommandsTest {
  @TempDir Path dir;

  private Map<String, String> env(String json) throws Exception {
    Path file = Files.writeString(dir.resolve("config.json"), json);
    return Map.of("BALANCER_CONFIG", file.toString());
  }

  private static String good(String listen) {
    return "{\"name\":\"n3\",\"listen\":\""
        + listen
        + "\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"sockets\":1024},\"settings\":"
        + TestSettings.JSON
        + "}";
  }

  @Test
  void theConfigurationIsReadAsThePlatformWritesIt() throws Exception {
    Config config = Config.read(env(good("127.0.0.1:1")));
    assertThat(config.name()).isEqualTo("n3");
    assertThat(config.listen().getPort()).isEqualTo(1);
    assertThat(config.settings().classes()).hasSize(5);
    assertThat(config.seed()).isEqualTo(Long.parseUnsignedLong("8c1f30d27a5be964", 16));
  }

  @Test
  void whatIsWrongIsNamed() throws Exception {
    assertThatThrownBy(() -> Config.read(Map.of())).hasMessage("BALANCER_CONFIG: not set");
    assertThatThrownBy(() -> Config.read(env("{")))
        .hasMessageStartingWith("BALANCER_CONFIG: cannot be read");
    assertThatThrownBy(() -> Config.read(env(good("host:1"))))
        .hasMessage("listen: not a literal address: host:1");
    assertThatThrownBy(
            () ->
                Config.read(
                    env(good("127.0.0.1:1").replace("\"RampTime\": 15000.0", "\"RampTime\": -1"))))
        .hasMessageStartingWith("settings: setting rampTime is out of range");
    Path operator =
        Files.writeString(
            dir.resolve("op.json"),
            "{\"name\":\"p\",\"syslog\":{\"collector\":\"127.0.0.1:514\",\"facility\":\"local9\"}}");
    assertThatThrownBy(() -> Operator.read(operator))
        .hasMessageStartingWith(
            operator + ":1: syslog.facility: found \"local9\", allowed is one of ")
        .hasMessageContaining("local7");
    assertThat(Commands.execute("check-config", "--operator", operator.toString())).isEqualTo(2);
    assertThat(Commands.execute("no-such-command")).isEqualTo(2);
    assertThat(Commands.execute("version")).isZero();
  }

  @Test
  void theFilesForPoolingAreGood() throws Exception {
    assertThat(Operator.read(Path.of("deploy/operator-pooling.conf")).pooling().setup().databases())
        .containsKeys("league", "reports");
    assertThat(Operator.read(Path.of("example/pooling.conf")).settings().classes()).hasSize(5);
  }

  @Test
  void theOperatorsFileInDeployIsGood() throws Exception {
    Operator o = Operator.read(Path.of("deploy/operator-rest.json"));
    assertThat(o.rest().members().members()).isNotEmpty();
    assertThat(o.settings().classes()).hasSize(5);
    assertThat(o.syslog().tcp()).isFalse();
  }

  private String complaint(String text) throws Exception {
    Path file = Files.writeString(dir.resolve("a.conf"), text);
    try {
      Operator.read(file);
      return "good";
    } catch (Config.Bad e) {
      assertThat(e.getMessage()).doesNotContain("\n");
      return e.getMessage().replace(file.toString(), "FILE");
    }
  }

  /**
   * Guards against a setting that is misspelt, out of range or of the wrong unit, and silently not
   * in force.
   */
  @Test
  void anOperatorsFileIsHoconAndEachFaultNamesItsLine() throws Exception {
    assertThat(
            complaint(
                "name = p\nmgmt = \"127.0.0.1:9\" # calls\nstore { period_ms = 2 s, peers = [\"127.0.0.1:7\"] }"))
        .isEqualTo("good");
    assertThat(complaint("name = p\nstore {\n  perod_ms = 5s\n}"))
        .isEqualTo("FILE:3: store.perod_ms: is no setting here; the nearest is period_ms");
    assertThat(complaint("name = p\n\nstore.period_ms = 2 weeks"))
        .startsWith(
            "FILE:3: store.period_ms: found \"2 weeks\", allowed is a duration from 10ms to 3600000ms");
    assertThat(complaint("name = p\nstor = {}"))
        .isEqualTo("FILE:2: stor: is no setting here; the nearest is store");
    assertThat(complaint("name = p\nmgmt = \"host:1\""))
        .startsWith("FILE:2: mgmt: found \"host:1\", allowed is a literal address");
    assertThat(complaint("name = p\nrest { listen = \"127.0.0.1:1\" }"))
        .startsWith("FILE:2: rest.members: neither");
    assertThat(complaint("name = p\nrest = 7"))
        .isEqualTo("FILE:2: rest: found 7, allowed is an object");
    assertThat(complaint("name = p\nmgmt = {")).startsWith("FILE:2: operator: cannot be read: ");
    assertThat(complaint("name = ${NO_SUCH_VARIABLE}"))
        .startsWith("FILE:1: operator: cannot be read: ");
    assertThat(
            complaint(
                "name = p\nsettings = "
                    + TestSettings.JSON.replace("\"RampTime\": 15000.0", "\"RampTime\": -1")))
        .startsWith("FILE:")
        .contains("settings: setting rampTime is out of range");
    assertThat(complaint(""))
        .isEqualTo("FILE:1: name: found nothing, allowed is a text that is not empty");
  }

  @Test
  void whatIsInForceIsToldWithItsOrigin() throws Exception {
    Path file = Files.writeString(dir.resolve("b.conf"), "name = p\nstore.period_ms = 1.5s");
    assertThat(Operator.read(file).inForce())
        .anyMatch(l -> l.matches("store.period_ms = 1.5s +# .*b.conf:2"))
        .anyMatch(l -> l.matches("store.peers = \\[] +# default"));
    assertThat(Commands.execute("print-config", "--operator", file.toString())).isZero();
  }

  private String pooling(String inside) throws Exception {
    return complaint(
        "name = p\nsettings = "
            + TestSettings.JSON.replace("\n", " ")
            + "\npooling {\n"
            + inside
            + "\n}");
  }

  @Test
  void aPoolingFrontsFaultsNameTheirLines() throws Exception {
    String members =
        "members { revision = 1, complete = true, members = [{id = p, host_port = \"127.0.0.1:1\", phase = up}] }\n";
    String listen = "listen = \"127.0.0.1:6432\"\n";
    assertThat(
            pooling(
                listen
                    + members
                    + "databases { db { places { most = 5, lifetime = 1h }, users { a { mode = session, places = 2 } } } }"
                    + "\nlimits { idle-in-transaction = 10s, buffers = 8MiB }\npins { listen = refuse }"))
        .isEqualTo("good");
    assertThat(pooling("listen = \"10.0.0.1:6432\"\n" + members + "databases { db {} }"))
        .startsWith("FILE:4: pooling.listen: found 10.0.0.1, allowed is a loopback address")
        .contains("trusted-network = true");
    assertThat(
            pooling(
                "listen = \"10.0.0.1:6432\"\ntrusted-network = true\n"
                    + members
                    + "databases { db {} }"))
        .isEqualTo("good");
    assertThat(pooling(listen + members + "databases { db { moed = session } }"))
        .isEqualTo("FILE:6: pooling.databases.db.moed: is no setting here; the nearest is mode");
    assertThat(pooling(listen + members + "databases { db { mode = statement } }"))
        .isEqualTo(
            "FILE:6: pooling.databases.db.mode: found \"statement\", allowed is one of session, transaction");
    assertThat(
            pooling(listen + members + "databases { db { mode = session, class = scoreboard } }"))
        .startsWith(
            "FILE:6: pooling.databases.db.class: found scoreboard, allowed in mode session is");
    assertThat(pooling(listen + members + "databases { db { select-class = trade-claim } }"))
        .startsWith(
            "FILE:6: pooling.databases.db.select-class: found \"trade-claim\", allowed is one of my-roster, scoreboard");
    assertThat(pooling(listen + members + "databases { db { places { least = 9, most = 3 } } }"))
        .startsWith(
            "FILE:6: pooling.databases.db.places.least: found 9, allowed is at most places.most, 3");
    assertThat(pooling(listen + members + "databases {}"))
        .contains("pooling.databases: found none");
    assertThat(pooling(listen + members + "databases { db {} }\nlimits { login = 5 parsecs }"))
        .startsWith("FILE:7: pooling.limits.login: found \"5 parsecs\", allowed is a duration");
    assertThat(pooling(listen + members + "databases { db {} }\nlimits { buffers = 1 }"))
        .startsWith("FILE:7: pooling.limits.buffers: found 1, allowed is a size from 65536");
    assertThat(pooling(listen + "databases { db {} }"))
        .contains("pooling.members: neither discovery nor members");
    assertThat(complaint("name = p\npooling { " + listen + members + "databases { db {} } }"))
        .contains("needs settings");
  }

  @Test
  void membershipsFaultsNameTheirLines() throws Exception {
    Files.writeString(dir.resolve("short.key"), "short");
    Files.writeString(dir.resolve("good.key"), "sixteen bytes or more\n");
    String peers =
        "listen = \"127.0.0.1:7946\"\npeers = [\"127.0.0.1:7946\", \"127.0.0.1:7947\"]\n";
    assertThat(
            complaint(
                "name = p\nmembership {\n"
                    + peers
                    + "number = 1, key-file = good.key }\nduties { every = 200ms }"))
        .isEqualTo("good");
    assertThat(complaint("name = p\nmembership {\n" + peers + "number = 2 }"))
        .startsWith("FILE:5: membership.number: found 2, allowed is");
    assertThat(complaint("name = p\nmembership {\n" + peers + "key-file = short.key }"))
        .startsWith("FILE:5: membership.key-file: found a key of 5 bytes");
    assertThat(complaint("name = p\nmembership {\n" + peers + "key-file = no.key }"))
        .startsWith("FILE:5: membership.key-file: cannot be read");
    assertThat(complaint("name = p\nmembership { listen = \"127.0.0.1:1\", peers = [] }"))
        .startsWith("FILE:2: membership.peers: found 0");
    assertThat(complaint("name = p\nmembership { direct = 1s }"))
        .startsWith("FILE:2: membership.direct: found 1000.0ms");
    assertThat(complaint("name = p\nduties { evry = 1s }")).contains("duties");
    assertThat(Operator.read(Path.of("deploy/operator-duties.conf")).membership().probes().every())
        .isEqualTo(400);
  }

  @Test
  void thePlatformTellsWherePoolersAre() throws Exception {
    Config config =
        Config.read(
            env(
                good("127.0.0.1:1")
                    .replace(
                        "\"seed\"",
                        "\"peer_listen\":\"127.0.0.1:7946\",\"peers\":[\"127.0.0.1:7946\",\"127.0.0.1:7947\"],\"seed\"")));
    assertThat(config.peers().all()).hasSize(2);
    assertThat(Config.read(env(good("127.0.0.1:1"))).peers()).isNull();
  }

  /**
   * Guards against a start without its class archive: a third more processor time, while a whole
   * fleet starts.
   */
  @Test
  void runReadsTheArchiveThatTheBuildMakesByARehearsalOfTheStart() throws Exception {
    var archive =
        java.util.regex.Pattern.compile("ArchiveClassesAtExit=(\\S+?)<")
            .matcher(java.nio.file.Files.readString(java.nio.file.Path.of("pom.xml")));
    assertThat(archive.find()).isTrue();
    assertThat(
            java.nio.file.Files.readString(java.nio.file.Path.of("deploy/balancer.toml"))
                .lines()
                .filter(l -> l.startsWith("run")))
        .singleElement()
        .asString()
        .contains("-XX:SharedArchiveFile=" + archive.group(1), "-Xshare:auto");
    assertThat(Commands.execute("rehearse", "src/main/rehearsal/config.json")).isZero();
    assertThat(Commands.execute("rehearse", "src/main/rehearsal/none.json"))
        .isEqualTo(Commands.BAD_CONFIG);
  }
}
