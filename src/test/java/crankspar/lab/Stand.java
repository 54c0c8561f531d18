package crankspar.lab;

import crankspar.TestSettings;
import crankspar.config.Config;
import crankspar.config.Operator;
import crankspar.daemon.Daemon;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;

/**
 * A pooler on loopback with a primary and replicas of the lab's behind it, set up by an operator's
 * file.
 */
public final class Stand implements AutoCloseable {
  public final PgServer primary;
  public final List<PgServer> replicas = new ArrayList<>();
  public final Recording recording;
  public final Daemon daemon;
  private final Path file;
  private final String settings;
  private String pooling;

  /** {@code pooling} is what stands inside {@code pooling { ... }} beside listener and members. */
  public Stand(int replicas, String pooling) throws IOException, Config.Bad, InterruptedException {
    this(replicas, pooling, s -> {});
  }

  public Stand(int replicas, String pooling, java.util.function.Consumer<PgServer> each)
      throws IOException, Config.Bad, InterruptedException {
    this(replicas, pooling, each, TestSettings.JSON);
  }

  /** {@code settings} stand in place of the tests' own. */
  public Stand(
      int replicas, String pooling, java.util.function.Consumer<PgServer> each, String settings)
      throws IOException, Config.Bad, InterruptedException {
    this.settings = settings;
    primary = new PgServer("primary");
    recording = primary.recording();
    each.accept(primary);
    primary.listen(new InetSocketAddress("127.0.0.1", 0));
    for (int i = 0; i < replicas; i++) {
      var replica = new PgServer(primary.loop, "replica-" + i, recording).role(false);
      each.accept(replica);
      this.replicas.add(replica.listen(new InetSocketAddress("127.0.0.1", 0)));
    }
    this.pooling = pooling;
    file = Files.createTempFile("stand", ".conf");
    write("127.0.0.1:0");
    daemon = new Daemon(null, Operator.read(file));
  }

  private void write(String listen) throws IOException {
    var members = new ArrayList<String>();
    members.add(member("p", primary.address(), "primary"));
    for (int i = 0; i < replicas.size(); i++) {
      members.add(member("r" + i, replicas.get(i).address(), "replica"));
    }
    Files.writeString(
        file,
        "name = stand\nmgmt = \"127.0.0.1:0\"\nsettings = "
            + settings
            + "\npooling {\n  listen = \""
            + listen
            + "\"\n  members { revision = 1, complete = true, members = [\n"
            + String.join(",\n", members)
            + "] }\n"
            + pooling
            + "\n}\n");
  }

  private static String member(String id, InetSocketAddress at, String role) {
    return "    {id = "
        + id
        + ", host_port = \"127.0.0.1:"
        + at.getPort()
        + "\", locality = burnaby, flavor = std, cell = 1, phase = up,"
        + " size = 1.0, up_since_ms = 0, role = "
        + role
        + "}";
  }

  /** Changes the file and has it read anew, as SIGHUP would. */
  public void change(String pooling) throws IOException, Config.Bad {
    this.pooling = pooling;
    write("127.0.0.1:0");
    daemon.reload(null, Operator.read(file));
  }

  public InetSocketAddress address() {
    return daemon.poolingAddress();
  }

  public PgWire wire() throws IOException {
    return PgWire.to(address(), "app", "db");
  }

  public Connection jdbc(String options) throws SQLException {
    var properties = new Properties();
    properties.setProperty("user", "app");
    properties.setProperty("sslmode", "disable");
    return DriverManager.getConnection(
        "jdbc:postgresql://127.0.0.1:" + address().getPort() + "/db?" + options, properties);
  }

  @Override
  public void close() throws IOException {
    daemon.close();
    replicas.forEach(PgServer::close);
    primary.close();
    Files.deleteIfExists(file);
  }
}
