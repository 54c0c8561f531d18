package crankspar.rest;

import crankspar.Router.Health;
import crankspar.Router.Member;
import crankspar.TestSettings;
import crankspar.core.Counters;
import crankspar.net.EventLoop;
import crankspar.net.ScriptedPeer;
import crankspar.net.ScriptedPeer.Wire;
import crankspar.policy.RequestRouter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * The REST front on a loop of its own, with scripted servers of group 1 behind it and clients
 * before it.
 */
abstract class RestDoor {
  final List<AutoCloseable> open = new ArrayList<>();
  final Counters counters = new Counters();
  EventLoop loop;
  InetSocketAddress address;

  @BeforeEach
  void start() throws Exception {
    loop = new EventLoop("test");
  }

  @AfterEach
  void stop() throws Exception {
    loop.close();
    for (AutoCloseable c : open) {
      c.close();
    }
  }

  /** Its members, the first one listed as primary; a client of it. */
  Wire pooler(ScriptedPeer... servers) throws Exception {
    open.addAll(List.of(servers));
    RestFront.Parts parts =
        RestFront.build(
            loop,
            TestSettings.platform(),
            counters,
            on -> {},
            RequestRouter::new,
            KeyLog.inMemory(),
            50,
            50);
    loop.runAndWait(
        () -> {
          var members = new ArrayList<Member>();
          for (int i = 0; i < servers.length; i++) {
            parts.pool().locate("m" + i, servers[i].address());
            members.add(new Member("m" + i, "burnaby", i == 0, 1, Health.RUNNING, 1, "", 0));
          }
          parts.pooler().start(members);
        });
    address = parts.front().listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return client();
  }

  Wire client() throws Exception {
    Wire wire = Wire.to(address);
    open.add(wire);
    return wire;
  }
}
