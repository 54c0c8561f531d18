package crankspar.config;

import crankspar.duties.Duties;
import crankspar.membership.Swim;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads {@code membership} and {@code duties} of the operator's file. */
final class MembershipReader {
  private static final int KEY_LEAST = 16;

  private MembershipReader() {}

  static Operator.Membership read(Section m, Section duties, Path file) throws Config.Bad {
    if (m == null) {
      if (duties != null) {
        throw duties.bad("probes", "needs membership, by which it is divided");
      }
      return null;
    }
    InetSocketAddress listen = m.addressOrNull("listen");
    List<InetSocketAddress> peers = m.addresses("peers");
    int me = m.count("number", 0, 0, 499);
    if (listen != null && (peers.size() < 2 || peers.size() > 500)) {
      throw m.bad(
          "peers",
          "found "
              + peers.size()
              + ", allowed are 2 to 500 addresses, this pooler's own among them");
    }
    if (listen != null && me >= peers.size()) {
      throw m.bad("number", "found " + me + ", allowed is this pooler's place in peers, from 0");
    }
    int weight = m.count("weight", 16, 1, 255);
    List<byte[]> keys = keys(m, file);
    Swim.Settings d = Swim.Settings.DEFAULT;
    var swim =
        new Swim.Settings(
            m.millis("period", d.period(), 20, 60_000),
            m.millis("direct", d.direct(), 5, 60_000),
            m.millis("suspicion", d.suspicion(), 50, 600_000),
            m.count("helpers", d.helpers(), 0, 10));
    if (swim.direct() >= swim.period()) {
      throw m.bad(
          "direct",
          "found "
              + swim.direct()
              + "ms, allowed is less than membership.period, "
              + swim.period()
              + "ms");
    }
    m.done();
    boolean watch =
        duties != null
            && duties.word("watch", "own", java.util.Map.of("own", false, "shared", true));
    return new Operator.Membership(listen, peers, me, weight, keys, swim, probes(duties), watch);
  }

  private static Duties.Settings probes(Section duties) throws Config.Bad {
    if (duties == null) {
      return null;
    }
    Duties.Settings d = Duties.Settings.DEFAULT;
    var settings =
        new Duties.Settings(
            duties.millis("every", d.every(), 20, 60_000),
            duties.millis("slack", d.slack(), 5, 60_000),
            duties.millis("step", d.step(), 1, 10_000));
    boolean on = duties.flag("probes", true);
    duties.done();
    return on ? settings : null;
  }

  /** One or two files, a key each: the first seals, both open. */
  private static List<byte[]> keys(Section m, Path file) throws Config.Bad {
    var keys = new ArrayList<byte[]>(2);
    for (String name : new String[] {"key-file", "old-key-file"}) {
      String path = m.text(name, null);
      if (path == null) {
        continue;
      }
      try {
        byte[] key =
            Files.readString(file.toAbsolutePath().resolveSibling(path))
                .strip()
                .getBytes(java.nio.charset.StandardCharsets.UTF_8);
        if (key.length < KEY_LEAST) {
          throw m.bad(
              name,
              "found a key of " + key.length + " bytes, allowed are " + KEY_LEAST + " at least");
        }
        keys.add(key);
      } catch (IOException e) {
        throw m.bad(name, "cannot be read: " + Config.brief(e));
      }
    }
    return keys;
  }
}
