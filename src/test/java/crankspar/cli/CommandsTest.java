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

/** Guards against a bad configuration that ends in a trace, or in nothing said: one line names the key. */
class CommandsTest {
    @TempDir Path dir;

    private Map<String, String> env(String json) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), json);
        return Map.of("BALANCER_CONFIG", file.toString());
    }

    private static String good(String listen) {
        return "{\"name\":\"n3\",\"listen\":\"" + listen + "\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"sockets\":1024},\"settings\":" + TestSettings.JSON + "}";
    }

    @Test void theConfigurationIsReadAsThePlatformWritesIt() throws Exception {
        Config config = Config.read(env(good("127.0.0.1:1")));
        assertThat(config.name()).isEqualTo("n3");
        assertThat(config.listen().getPort()).isEqualTo(1);
        assertThat(config.settings().classes()).hasSize(5);
        assertThat(config.seed()).isEqualTo(Long.parseUnsignedLong("8c1f30d27a5be964", 16));
    }

    @Test void whatIsWrongIsNamed() throws Exception {
        assertThatThrownBy(() -> Config.read(Map.of())).hasMessage("BALANCER_CONFIG: not set");
        assertThatThrownBy(() -> Config.read(env("{"))).hasMessageStartingWith("BALANCER_CONFIG: cannot be read");
        assertThatThrownBy(() -> Config.read(env(good("host:1")))).hasMessage("listen: not a literal address: host:1");
        assertThatThrownBy(() -> Config.read(env(good("127.0.0.1:1").replace("\"RampTime\": 15000.0", "\"RampTime\": -1"))))
                .hasMessageStartingWith("settings: setting rampTime is out of range");
        Path operator = Files.writeString(dir.resolve("op.json"),
                "{\"name\":\"p\",\"syslog\":{\"collector\":\"127.0.0.1:514\",\"facility\":\"local9\"}}");
        assertThatThrownBy(() -> Operator.read(operator))
                .hasMessageStartingWith(operator + ":1: syslog.facility: found \"local9\", allowed is one of ")
                .hasMessageContaining("local7");
        assertThat(Commands.execute("check-config", "--operator", operator.toString())).isEqualTo(2);
        assertThat(Commands.execute("no-such-command")).isEqualTo(2);
        assertThat(Commands.execute("version")).isZero();
    }

    @Test void theOperatorsFileInDeployIsGood() throws Exception {
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

    /** Guards against a setting that is misspelt, out of range or of the wrong unit, and silently not in force. */
    @Test void anOperatorsFileIsHoconAndEachFaultNamesItsLine() throws Exception {
        assertThat(complaint("name = p\nmgmt = \"127.0.0.1:9\" # calls\nstore { period_ms = 2 s, peers = [\"127.0.0.1:7\"] }"))
                .isEqualTo("good");
        assertThat(complaint("name = p\nstore {\n  perod_ms = 5s\n}"))
                .isEqualTo("FILE:3: store.perod_ms: is no setting here; the nearest is period_ms");
        assertThat(complaint("name = p\n\nstore.period_ms = 2 weeks"))
                .startsWith("FILE:3: store.period_ms: found \"2 weeks\", allowed is a duration from 10ms to 3600000ms");
        assertThat(complaint("name = p\nstor = {}")).isEqualTo("FILE:2: stor: is no setting here; the nearest is store");
        assertThat(complaint("name = p\nmgmt = \"host:1\""))
                .startsWith("FILE:2: mgmt: found \"host:1\", allowed is a literal address");
        assertThat(complaint("name = p\nrest { listen = \"127.0.0.1:1\" }")).startsWith("FILE:2: rest.members: neither");
        assertThat(complaint("name = p\nrest = 7")).isEqualTo("FILE:2: rest: found 7, allowed is an object");
        assertThat(complaint("name = p\nmgmt = {")).startsWith("FILE:2: operator: cannot be read: ");
        assertThat(complaint("name = ${NO_SUCH_VARIABLE}")).startsWith("FILE:1: operator: cannot be read: ");
        assertThat(complaint("name = p\nsettings = " + TestSettings.JSON.replace("\"RampTime\": 15000.0", "\"RampTime\": -1")))
                .startsWith("FILE:").contains("settings: setting rampTime is out of range");
        assertThat(complaint("")).isEqualTo("FILE:1: name: found nothing, allowed is a text that is not empty");
    }

    @Test void whatIsInForceIsToldWithItsOrigin() throws Exception {
        Path file = Files.writeString(dir.resolve("b.conf"), "name = p\nstore.period_ms = 1.5s");
        assertThat(Operator.read(file).inForce())
                .anyMatch(l -> l.matches("store.period_ms = 1.5s +# .*b.conf:2"))
                .anyMatch(l -> l.matches("store.peers = \\[] +# default"));
        assertThat(Commands.execute("print-config", "--operator", file.toString())).isZero();
    }
}
