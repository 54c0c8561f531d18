package crankspar.syslog;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.net.ScriptedPeer;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** What a collector gets, on loopback. */
class SyslogTest {
  private final Rfc5424Formatter formatter =
      new Rfc5424Formatter(16, "32473", "p 1", "crankspar", "42");

  private static LogRecord record(Level level, String message, Object... parameters) {
    var r = new LogRecord(level, message);
    r.setInstant(Instant.parse("2026-12-01T14:30:00.123456789Z"));
    r.setLoggerName("crankspar.cli.Daemon");
    r.setParameters(parameters);
    return r;
  }

  @Test
  void aRecordIsOneMessageOfRfc5424WithItsDataEscaped() {
    assertThat(
            formatter.format(
                record(
                    Level.WARNING,
                    "drained\nnow",
                    StructuredData.of("member", "id", "a\"b\\c]d", "bad name=", 3))))
        .isEqualTo(
            "<132>1 2026-12-01T14:30:00.123456Z p?1 crankspar 42 Daemon "
                + "[member@32473 id=\"a\\\"b\\\\c\\]d\" bad?name_=\"3\"] drained now");
    assertThat(formatter.format(record(Level.SEVERE, "Zoë")))
        .isEqualTo("<131>1 2026-12-01T14:30:00.123456Z p?1 crankspar 42 Daemon - \uFEFFZoë");
  }

  @Test
  void udpBringsAMessageADatagram() throws Exception {
    try (var collector = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      collector.setSoTimeout(ScriptedPeer.PATIENCE_MS);
      var handler =
          new SyslogHandler(
              new InetSocketAddress(collector.getLocalAddress(), collector.getLocalPort()),
              SyslogHandler.Transport.UDP,
              formatter);
      handler.publish(record(Level.INFO, "hello"));
      var packet = new DatagramPacket(new byte[2048], 2048);
      collector.receive(packet);
      assertThat(new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8))
          .startsWith("<134>1 ")
          .endsWith(" - hello");
      handler.close();
    }
  }

  @Test
  void tcpCountsOctetsAndAHangingCollectorCostsOnlyDrops() throws Exception {
    var release = new CountDownLatch(1);
    ScriptedPeer[] self = new ScriptedPeer[1];
    try (ScriptedPeer collector =
        self[0] =
            new ScriptedPeer(
                wire -> {
                  release.await();
                  var digits = new StringBuilder();
                  for (char c = (char) wire.read(1)[0]; c != ' '; c = (char) wire.read(1)[0]) {
                    digits.append(c);
                  }
                  self[0].saw(
                      new String(
                          wire.read(Integer.parseInt(digits.toString())), StandardCharsets.UTF_8));
                  release.await();
                })) {
      var handler =
          new SyslogHandler(collector.address(), SyslogHandler.Transport.TCP, formatter, 4);
      String big = "x".repeat(4000);
      // Far more than the queue and the sockets' buffers hold while nobody reads.
      for (int i = 0; i < 20_000 && handler.dropped() == 0; i++) {
        handler.publish(record(Level.INFO, big));
      }
      assertThat(handler.dropped()).isPositive();
      release.countDown();
      assertThat(collector.next()).startsWith("<134>1 ").endsWith(big);
      handler.close();
    }
  }
}
