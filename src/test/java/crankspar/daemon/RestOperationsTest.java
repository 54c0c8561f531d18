package crankspar.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.TestSettings;
import crankspar.config.Operator;
import crankspar.net.ScriptedPeer;
import crankspar.net.ScriptedPeer.Wire;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The operators' calls on the second front: guards against parts that only the platform's front
 * has.
 */
class RestOperationsTest {
  @TempDir Path dir;

  private static String body(String body, String headers) {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String call(Daemon daemon, String method, String path) throws IOException {
    try (Wire wire = Wire.to(daemon.mgmtAddress())) {
      wire.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
      return wire.http();
    }
  }

  private static String page(Wire client) throws IOException {
    client.send(
        "GET /v1/groups/2/my-roster HTTP/1.1\r\nHost: p\r\nRequest-Deadline-Ms: 300\r\n\r\n");
    return client.http();
  }

  @Test
  void theRestFrontIsCountedBannedAndDrainedAsTheOther() throws Exception {
    try (var server =
        new ScriptedPeer(
            wire -> {
              for (String asked = wire.http(); asked != null; asked = wire.http()) {
                long now = System.currentTimeMillis();
                wire.send(
                    asked.startsWith("GET /v1/load")
                        ? body("{\"role\":\"primary\",\"position\":" + now + "}", "")
                        : body(
                            "{\"items\":[1]}",
                            "Role: primary\r\nApplied-Position: " + now + "\r\n"));
              }
            })) {
      Path file =
          Files.writeString(
              dir.resolve("op.json"),
              "{\"name\":\"p\",\"mgmt\":\"127.0.0.1:0\",\"settings\":"
                  + TestSettings.JSON
                  + ",\"rest\":{\"listen\":\"127.0.0.1:0\",\"members\":{\"revision\":1,\"complete\":true,"
                  + "\"members\":[{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:"
                  + server.address().getPort()
                  + "\",\"locality\":"
                  + "\"burnaby\",\"cell\":2,\"phase\":\"up\",\"role\":\"primary\"}]}}}");
      try (var daemon = new Daemon(null, Operator.read(file));
          Wire client = Wire.to(daemon.restAddress())) {
        assertThat(page(client)).startsWith("HTTP/1.1 200");
        assertThat(call(daemon, "GET", "/-/metrics"))
            .contains("ok.my-roster:1|c", "tries:1|c", "pool_size:1|g");

        assertThat(call(daemon, "POST", "/-/league-databases/s-1/disable"))
            .startsWith("HTTP/1.1 200");
        assertThat(page(client)).startsWith("HTTP/1.1 503");
        assertThat(call(daemon, "POST", "/-/league-databases/s-1/enable"))
            .startsWith("HTTP/1.1 200");
        long began = System.nanoTime();
        while (!page(client).startsWith("HTTP/1.1 200")) {
          assertThat((System.nanoTime() - began) / 1e9).isLessThan(5);
        }
        assertThat(call(daemon, "POST", "/-/drain")).startsWith("HTTP/1.1 200");
        assertThat(client.ends()).isTrue();
        assertThat(call(daemon, "POST", "/-/resume")).startsWith("HTTP/1.1 200");
        try (Wire again = Wire.to(daemon.restAddress())) {
          assertThat(page(again)).startsWith("HTTP/1.1 ");
        }
      }
    }
  }
}
