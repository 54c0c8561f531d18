package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.lab.PgWire;
import crankspar.lab.Stand;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Helpers shared by the tests of pooling edge cases. */
abstract class HardCasesFixture {
  static String places(int most) {
    return "databases { db { places { most = " + most + " } } }";
  }

  static void until(BooleanSupplier what) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!what.getAsBoolean()) {
      assertThat(System.nanoTime()).as("in time").isLessThan(deadline);
      Thread.sleep(1);
    }
  }

  static String use(PgWire w, String name, String... values) throws IOException {
    w.send(PgWire.bind(name, values), PgWire.execute(), PgWire.sync());
    return PgWire.brief(w.untilReady());
  }

  static void prepare(PgWire w, String name, String sql) throws IOException {
    w.send(PgWire.parse(name, sql), PgWire.sync());
    assertThat(PgWire.brief(w.untilReady())).isEqualTo("1 Z:I");
  }

  static String call(Stand stand, String path) throws IOException {
    try (var socket =
        new java.net.Socket(
            stand.daemon.mgmtAddress().getAddress(), stand.daemon.mgmtAddress().getPort())) {
      socket
          .getOutputStream()
          .write(
              ("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
