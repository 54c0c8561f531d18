package crankspar.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.TestSettings;
import crankspar.config.Config;
import crankspar.net.ScriptedPeer.Wire;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a gap between two restarts: a connection is served on for as long as the kill
 * allows.
 */
class StopTest {
  private static final byte[] EMPTY_QUERY = {'Q', 0, 0, 0, 5, 0};
  private static final int EMPTY_ANSWER = 5 + 6;

  private static final long LATE_MS = 800;

  @TempDir Path dir;

  @Test
  void clientsAreServedOnUntilTheLastAnswersAreDue() throws Exception {
    double served = servedFor(0);
    assertThat(served).isGreaterThan(1500);
  }

  /** A late loop counted the grace from when it came to it, and was open when the kill came. */
  @Test
  void theGraceRunsFromTheSignalThoughTheLoopIsLate() throws Exception {
    assertThat(servedFor(LATE_MS)).isBetween(1000.0, 3000.0);
  }

  /** How long a client is served on after the signal (ms), with the loop held up for so long. */
  private double servedFor(long late) throws Exception {
    Path file =
        Files.writeString(
            dir.resolve("config.json"),
            "{\"name\":\"n3\",\"listen\":\"127.0.0.1:0\","
                + "\"discovery\":\"127.0.0.1:1\",\"settings\":"
                + TestSettings.JSON
                + "}");
    try (var daemon = new Daemon(Config.read(Map.of("BALANCER_CONFIG", file.toString())), null);
        Wire wire = Wire.to(daemon.pgAddress())) {
      wire.send(new byte[] {0, 0, 0, 9, 0, 3, 0, 0, 0});
      while (wire.read(1)[0] != 'Z') {
        // the welcome, up to ReadyForQuery
      }
      wire.read(5);
      long began = System.nanoTime();
      daemon.parts.loop.run(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(late)));
      var stop =
          new Thread(
              () -> {
                try {
                  daemon.stop();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      stop.start();
      double served = 0;
      try {
        while (true) {
          wire.send(EMPTY_QUERY);
          wire.read(EMPTY_ANSWER);
          served = (System.nanoTime() - began) / 1e6;
        }
      } catch (IOException e) {
        // closed between two requests
      }
      stop.join(5000);
      double ended = (System.nanoTime() - began) / 1e6;
      assertThat(ended).isLessThan(3700); // the kill, at the soonest
      return served;
    }
  }
}
