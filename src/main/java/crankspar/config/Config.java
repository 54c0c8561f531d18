package crankspar.config;

import crankspar.Router;
import crankspar.discovery.MemberList;
import crankspar.json.Json;
import crankspar.net.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * What one pooler is told by the platform; {@code mgmt} is null where operators do not call, and
 * {@code memoryMb} is infinite where no limit is set.
 */
public record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress mgmt,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    double memoryMb,
    MemberList known,
    Router.Settings settings,
    String text,
    Peers peers) {
  /** With less no message of a client would find room. */
  private static final int MEMORY_MB_LEAST = 16;

  /**
   * Where other poolers are, by their numbers; {@code listen} is this one's own. What is sent to
   * {@code everyone} reaches all of them; null where there is no such address.
   */
  public record Peers(
      InetSocketAddress listen,
      java.util.List<InetSocketAddress> all,
      InetSocketAddress everyone) {}

  /** A configuration that cannot be used; the message names the key. */
  public static final class Bad extends Exception {
    public Bad(String key, String why) {
      super(key + ": " + why);
    }
  }

  /** From the variables of the environment, which name the file and overrule what it says. */
  public static Config read(Map<String, String> env) throws Bad {
    String file = env.get("BALANCER_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new Bad("BALANCER_CONFIG", "not set");
    }
    String text;
    Map<?, ?> object;
    try {
      text = Files.readString(Path.of(file));
      object = Json.object(text);
    } catch (IOException | RuntimeException e) {
      throw new Bad("BALANCER_CONFIG", "cannot be read: " + brief(e));
    }
    long seed = seed(object.get("seed"));
    Router.Settings settings = settings(object, seed);
    MemberList known = members(object, "known", "");
    int sockets = (int) limit(object, "sockets", 1024);
    if (sockets < 64) {
      throw new Bad("limits.sockets", "fewer than 64: " + sockets);
    }
    double memoryMb = limit(object, "memory_mb", Double.POSITIVE_INFINITY);
    if (!(memoryMb >= MEMORY_MB_LEAST)) {
      throw new Bad("limits.memory_mb", "fewer than " + MEMORY_MB_LEAST + ": " + memoryMb);
    }
    String mgmt =
        env.get("BALANCER_MGMT") != null
            ? env.get("BALANCER_MGMT")
            : object.get("mgmt") == null ? null : String.valueOf(object.get("mgmt"));
    return new Config(
        text(env.get("BALANCER_NAME"), object, "name"),
        address(env.get("BALANCER_LISTEN"), object, "listen"),
        mgmt == null || mgmt.isEmpty() ? null : address(mgmt, object, "mgmt"),
        address(env.get("BALANCER_DISCOVERY"), object, "discovery"),
        seed,
        sockets,
        memoryMb,
        known,
        settings,
        text,
        peers(object));
  }

  private static double limit(Map<?, ?> object, String key, double absent) {
    return object.get("limits") instanceof Map<?, ?> limits
            && limits.get(key) instanceof Number number
        ? number.doubleValue()
        : absent;
  }

  /** Null where poolers have no way to each other. */
  private static Peers peers(Map<?, ?> object) throws Bad {
    if (object.get("peer_listen") == null
        || !(object.get("peers") instanceof java.util.List<?> list)) {
      return null;
    }
    var all = new java.util.ArrayList<InetSocketAddress>(list.size());
    for (Object one : list) {
      try {
        all.add(Addresses.parse(String.valueOf(one)));
      } catch (IllegalArgumentException e) {
        throw new Bad("peers", brief(e));
      }
    }
    return new Peers(
        address(null, object, "peer_listen"),
        all,
        object.get("peers_all") == null ? null : address(null, object, "peers_all"));
  }

  /**
   * The file once more, after a SIGHUP. Only the file can have changed since the start, so that it
   * goes before the variables, which still tell the discovery of the start.
   */
  public static Config reread(Map<String, String> env) throws Bad {
    return read(Map.of("BALANCER_CONFIG", env.getOrDefault("BALANCER_CONFIG", "")));
  }

  static Router.Settings settings(Map<?, ?> object, long seed) throws Bad {
    try {
      return SettingsReader.read(part(object, "settings"), seed);
    } catch (IllegalArgumentException e) {
      throw new Bad("settings", brief(e));
    }
  }

  static MemberList members(Map<?, ?> object, String key, String path) throws Bad {
    try {
      return object.get(key) == null ? MemberList.EMPTY : MemberList.read(part(object, key));
    } catch (IllegalArgumentException e) {
      throw new Bad(path + key, brief(e));
    }
  }

  static String brief(Exception e) {
    String message = String.valueOf(e.getMessage());
    return (e instanceof IllegalArgumentException ? "" : e.getClass().getSimpleName() + " ")
        + message.lines().findFirst().orElse("");
  }

  static Map<?, ?> part(Map<?, ?> object, String key) throws Bad {
    if (object.get(key) instanceof Map<?, ?> map) {
      return map;
    }
    throw new Bad(key, "no object");
  }

  private static long seed(Object value) throws Bad {
    try {
      return value == null
          ? 0
          : value instanceof Number n
              ? n.longValue()
              : Long.parseUnsignedLong(String.valueOf(value), 16);
    } catch (NumberFormatException e) {
      throw new Bad("seed", "not hexadecimal: " + value);
    }
  }

  static String text(String first, Map<?, ?> object, String key) throws Bad {
    Object value = first != null ? first : object.get(key);
    if (value instanceof String s && !s.isEmpty()) {
      return s;
    }
    throw new Bad(key, "not set");
  }

  private static InetSocketAddress address(String first, Map<?, ?> object, String key) throws Bad {
    try {
      return Addresses.parse(text(first, object, key));
    } catch (IllegalArgumentException e) {
      throw new Bad(key, brief(e));
    }
  }
}
