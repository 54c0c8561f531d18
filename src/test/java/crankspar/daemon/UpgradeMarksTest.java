package crankspar.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.TestSettings;
import crankspar.config.Config;
import crankspar.net.ScriptedPeer;
import crankspar.net.ScriptedPeer.Wire;
import crankspar.pg.Pg;
import crankspar.pg.PgEncoder;
import crankspar.pg.PgMessage;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * One process replaces another where marks are remembered: what sessions wrote through the old one
 * is seen through the new one.
 */
class UpgradeMarksTest {
  @TempDir Path dir;

  /** Stands at its start, and says so in each answer and probe. */
  private static ScriptedPeer member(String role, long position) throws Exception {
    return new ScriptedPeer(
        wire ->
            Pg.serve(
                wire,
                (pg, sql) -> {
                  long at = role.equals("primary") ? System.currentTimeMillis() : position;
                  String value =
                      sql.equals("SHOW load")
                          ? "x0=" + at / 1000.0 + ",x1=" + (role.equals("primary") ? 1 : 0)
                          : role;
                  pg.send(
                      PgEncoder.textColumns("val"),
                      new PgMessage.DataRow(List.of(value.getBytes(StandardCharsets.US_ASCII))),
                      new PgMessage.CommandComplete("SELECT 1"),
                      new PgMessage.ParameterStatus("role", role),
                      new PgMessage.ParameterStatus("applied_ms", Long.toString(at)),
                      new PgMessage.ReadyForQuery());
                }));
  }

  private static String entry(String id, ScriptedPeer peer, String role) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\"127.0.0.1:"
        + peer.address().getPort()
        + "\",\"locality\":\"burnaby\",\"flavor\":\"m\","
        + "\"cell\":2,\"phase\":\"up\",\"size\":1.0,\"up_since_ms\":0,\"role\":\""
        + role
        + "\"}";
  }

  private Daemon daemon(InetSocketAddress listen, ScriptedPeer primary, ScriptedPeer replica)
      throws Exception {
    assertThat(TestSettings.JSON).contains("carried");
    Path file =
        Files.writeString(
            Files.createTempFile(dir, "config", ".json"),
            "{\"name\":\"n3\",\"listen\":\"127.0.0.1:"
                + (listen == null ? 0 : listen.getPort())
                + "\",\"discovery\":\"127.0.0.1:1\",\"known\":{\"revision\":7,\"complete\":true,\"members\":["
                + entry("s-1", primary, "primary")
                + ","
                + entry("s-2", replica, "replica")
                + "]},\"settings\":"
                + TestSettings.JSON.replace("carried", "remembered")
                + "}");
    return new Daemon(Config.read(Map.of("BALANCER_CONFIG", file.toString())), null, dir);
  }

  private static String value(Pg pg, String id, String c, String sql) throws Exception {
    List<PgMessage> answer = pg.ask("/* id=" + id + ",c=" + c + ",d=3000,cluster=2 */ " + sql);
    return answer.size() > 1 && answer.get(1) instanceof PgMessage.DataRow row
        ? new String(row.values().get(0), StandardCharsets.US_ASCII)
        : answer.toString();
  }

  @Test
  void aReadThroughTheNewProcessSeesWhatWasWrittenThroughTheOldOne() throws Exception {
    try (ScriptedPeer primary = member("primary", 0);
        ScriptedPeer replica = member("replica", System.currentTimeMillis());
        Daemon old = daemon(null, primary, replica)) {
      Pg before = Pg.welcomed(Wire.to(old.pgAddress()));
      assertThat(
              value(
                  before,
                  "w1",
                  "trade-claim",
                  "INSERT INTO state (uid, val) VALUES ('u1', '\\x00') RETURNING val"))
          .isEqualTo("primary");
      try (Daemon next = daemon(old.pgAddress(), primary, replica)) {
        old.close();
        Pg after = Pg.welcomed(Wire.to(next.pgAddress()));
        for (int i = 0; i < 20; i++) {
          assertThat(
                  value(
                      after,
                      "o" + i,
                      "my-roster",
                      "SELECT val FROM state WHERE uid = 'other" + i + "'"))
              .isIn("primary", "replica");
        }
        assertThat(value(after, "r0", "my-roster", "SELECT val FROM state WHERE uid = 'nobody'"))
            .as("who wrote nothing may read here")
            .isEqualTo("replica");
        for (int i = 1; i < 10; i++) {
          assertThat(value(after, "r" + i, "my-roster", "SELECT val FROM state WHERE uid = 'u1'"))
              .isEqualTo("primary");
        }
      }
    }
  }

  /** Guards against a pooler that does not start for a file that it can do without. */
  @Test
  void itServesWhereTheMarksCannotBeShared() throws Exception {
    Files.createDirectory(
        dir.resolve("crankspar-" + Integer.toHexString("n3".hashCode()) + ".sessions"));
    try (ScriptedPeer primary = member("primary", 0);
        ScriptedPeer replica = member("replica", System.currentTimeMillis());
        Daemon daemon = daemon(null, primary, replica)) {
      Pg pg = Pg.welcomed(Wire.to(daemon.pgAddress()));
      assertThat(
              value(
                  pg,
                  "w1",
                  "trade-claim",
                  "INSERT INTO state (uid, val) VALUES ('u1', '\\x00') RETURNING val"))
          .isEqualTo("primary");
    }
  }
}
