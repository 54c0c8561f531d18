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
        assertThatThrownBy(() -> Operator.read(operator)).hasMessage("syslog.facility: unknown: local9");
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
}
