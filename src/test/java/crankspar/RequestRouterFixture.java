package crankspar;

import static crankspar.Fake.member;

import crankspar.Router.Role;
import java.util.List;

/** The group that most routing policy tests use. */
abstract class RequestRouterFixture {
  /** Primary p in zone far, replicas a and b in near, replica c in mid; all current. */
  static Fake group() {
    return group(new Fake());
  }

  static Fake group(Fake f) {
    f.start(member("p", "far"), member("a", "near"), member("b", "near"), member("c", "mid"));
    f.probeResult("p", Role.PRIMARY, 0);
    for (String id : List.of("a", "b", "c")) {
      f.probeResult(id, Role.REPLICA, 5);
    }
    return f;
  }
}
