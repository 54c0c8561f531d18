package crankspar.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.TestSettings;
import crankspar.config.Config;
import crankspar.net.ScriptedPeer;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an end on SIGHUP, and against a discovery that is looked for where it no longer
 * is.
 */
class ReloadTest {
  @TempDir Path dir;

  private static String json(InetSocketAddress discovery) {
    return "{\"name\":\"n3\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
        + discovery.getPort()
        + "\",\"known\":{\"revision\":7,\"complete\":true,\"members\":[]},\"settings\":"
        + TestSettings.JSON
        + "}";
  }

  private static ScriptedPeer discovery(String name) throws Exception {
    var self = new ScriptedPeer[1];
    return self[0] =
        new ScriptedPeer(
            wire -> {
              self[0].saw(wire.http().lines().findFirst().orElse(""));
              String line = "{\"revision\":9,\"complete\":true,\"members\":[]}\n";
              wire.send(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + Integer.toHexString(line.length())
                      + "\r\n"
                      + line
                      + "\r\n");
              wire.ends();
              self[0].saw(name + " was left");
            });
  }

  @Test
  void aSignalMovesTheWatchAndABadFileChangesNothing() throws Exception {
    try (ScriptedPeer first = discovery("first");
        ScriptedPeer second = discovery("second")) {
      Path file = Files.writeString(dir.resolve("config.json"), json(first.address()));
      var env =
          Map.of(
              "BALANCER_CONFIG",
              file.toString(),
              "BALANCER_DISCOVERY",
              "127.0.0.1:" + first.address().getPort());
      var reloads = new Reloads(null, env);
      try (var daemon = new Daemon(Config.read(env), null)) {
        reloads.serve(daemon);
        assertThat(first.next()).isEqualTo("GET /api/targets?stream=1&index=7 HTTP/1.1");

        Files.writeString(file, "{\"name\":");
        sun.misc.Signal.raise(new sun.misc.Signal("HUP"));
        assertThat(second.left()).isZero();

        Files.writeString(file, json(second.address()));
        sun.misc.Signal.raise(new sun.misc.Signal("HUP"));
        assertThat(second.next()).isEqualTo("GET /api/targets?stream=1&index=0 HTTP/1.1");
        assertThat(first.next()).isEqualTo("first was left");
      }
    }
  }

  /**
   * Guards against a signal that is lost with one failed read: the file was half written, or the
   * disk refused for a moment.
   */
  @Test
  void aSignalIsCarriedOutThoughTheFileCannotBeReadAtFirst() throws Exception {
    try (ScriptedPeer first = discovery("first");
        ScriptedPeer second = discovery("second")) {
      Path file = Files.writeString(dir.resolve("config.json"), json(first.address()));
      var env = Map.of("BALANCER_CONFIG", file.toString());
      var reloads = new Reloads(null, env);
      try (var daemon = new Daemon(Config.read(env), null)) {
        reloads.serve(daemon);
        assertThat(first.next()).isEqualTo("GET /api/targets?stream=1&index=7 HTTP/1.1");
        Files.delete(file);
        var refused = new CountDownLatch(1);
        Logger.getLogger(Reloads.class.getName())
            .setFilter(
                line -> {
                  refused.countDown();
                  return true;
                });
        sun.misc.Signal.raise(new sun.misc.Signal("HUP"));
        assertThat(refused.await(5, TimeUnit.SECONDS))
            .as("it was read, and was not there")
            .isTrue();
        Logger.getLogger(Reloads.class.getName()).setFilter(null);
        Files.writeString(file, json(second.address()));
        assertThat(second.next()).isEqualTo("GET /api/targets?stream=1&index=0 HTTP/1.1");
      }
    }
  }
}
