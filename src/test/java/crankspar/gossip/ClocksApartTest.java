package crankspar.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.Router;
import crankspar.Router.Health;
import crankspar.Router.ListKind;
import crankspar.Router.Member;
import crankspar.Router.PeerReport;
import crankspar.Router.Role;
import crankspar.Router.Status;
import crankspar.config.SettingsReader;
import crankspar.json.Json;
import crankspar.lab.LabSettings;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Two poolers of which one's clock is behind. Guards against gossip that is dropped between them.
 */
class ClocksApartTest {
  private static final double NOW = 1.7e12;
  private static final double BEHIND = 3000;
  private static final int POOLERS = 14;

  /** A pooler's gossip: what it tells others, and what its module hears of theirs. */
  private static final class Pooler {
    final List<byte[]> sent = new ArrayList<>();
    final List<PeerReport> heard = new ArrayList<>();
    final Router gossip;
    private final List<Long> timers = new ArrayList<>();

    Pooler(int me) throws Exception {
      Map<?, ?> settings = Json.object(LabSettings.json(POOLERS, me, "east"));
      gossip =
          GossipReceiver.before((s, actions) -> (Router) proxy(Router.class))
              .apply(
                  SettingsReader.read(settings, 1), (Router.Actions) proxy(Router.Actions.class));
      gossip.onMembers(
          NOW,
          ListKind.FULL,
          List.of(new Member("r", "east", false, 1, Health.RUNNING, 1, "m", 0)));
    }

    private Object proxy(Class<?> type) {
      return Proxy.newProxyInstance(
          type.getClassLoader(),
          new Class<?>[] {type},
          (self, method, arguments) -> {
            switch (method.getName()) {
              case "onPeerReports" ->
                  ((List<?>) arguments[1]).forEach(t -> heard.add((PeerReport) t));
              case "broadcast" -> sent.add((byte[]) arguments[0]);
              case "setTimer" -> timers.add((Long) arguments[1]);
              default -> {}
            }
            return method.getReturnType() == Set.class ? Set.of() : null;
          });
    }

    byte[] tells(double now, double position) {
      gossip.onOutcome(
          now, new Router.Outcome("q", 0, "r", Status.OK, 5, true, Role.REPLICA, position));
      List.copyOf(timers).forEach(cookie -> gossip.onTimer(now + 50, cookie));
      timers.clear();
      return sent.get(sent.size() - 1);
    }
  }

  @Test
  void whatOneWithAnotherClockTellsCountsOnceTheDifferenceIsKnown() throws Exception {
    var right = new Pooler(1);
    var behind = new Pooler(2);
    behind.gossip.onPeerMessage(NOW - BEHIND, right.tells(NOW, NOW - 40));
    assertThat(behind.heard).as("not known yet").isEmpty();
    behind.gossip.onDatabaseClock(NOW - BEHIND, BEHIND);
    double later = NOW + 1000;
    behind.gossip.onPeerMessage(later + 60 - BEHIND, right.tells(later, later - 40));
    behind.gossip.onTimer(later + 70 - BEHIND, Long.MIN_VALUE); // whatever is looked at later
    assertThat(behind.heard).hasSize(1);
    assertThat(behind.heard.get(0).position()).isBetween(later - BEHIND - 140, later - BEHIND - 40);
    right.gossip.onPeerMessage(
        later + 2000, behind.tells(later + 1950 - BEHIND, later + 1900 - BEHIND));
    assertThat(right.heard).hasSize(1);
    assertThat(right.heard.get(0).position()).isBetween(later + 1800, later + 1900);
  }
}
