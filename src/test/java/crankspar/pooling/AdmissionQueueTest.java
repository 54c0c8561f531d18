package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.pooling.AdmissionQueue.Decision;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Connection slots of a database: never more are held than the limit, and they are granted in
 * order, fairly between users and within the deadline.
 */
class AdmissionQueueTest {
  private static Setup.Database database(
      int most, int reserve, double after, Map<String, Setup.UserSettings> users) {
    return new Setup.Database(
        "db",
        "db",
        Setup.Mode.TRANSACTION,
        1,
        "c",
        null,
        null,
        new Setup.PoolLimits(most, 0, reserve, after, 1e9, 1e9),
        users,
        true);
  }

  private static List<Long> granted(List<Decision> effects) {
    return effects.stream()
        .filter(e -> e instanceof Decision.Granted)
        .map(Decision::ticket)
        .toList();
  }

  private static List<Long> refused(List<Decision> effects) {
    return effects.stream()
        .filter(e -> e instanceof Decision.Refused)
        .map(Decision::ticket)
        .toList();
  }

  @Test
  void firstComeFirstServed() {
    var p = new AdmissionQueue(database(1, 0, 0, Map.of()), 10);
    assertThat(granted(p.acquire(0, "a", 1, 1000))).containsExactly(1L);
    assertThat(p.acquire(1, "a", 2, 1000)).isEmpty();
    assertThat(p.acquire(2, "a", 3, 1000)).isEmpty();
    assertThat(granted(p.release(10, 1))).containsExactly(2L);
    assertThat(granted(p.release(20, 2))).containsExactly(3L);
    assertThat(p.longestWait()).isEqualTo(18);
  }

  @Test
  void aWaitingRequestIsRefusedAtItsDeadline() {
    var p = new AdmissionQueue(database(1, 0, 0, Map.of()), 10);
    p.acquire(0, "a", 1, 1000);
    p.acquire(0, "a", 2, 100);
    p.acquire(0, "a", 3, 200);
    assertThat(refused(p.expireAndGrant(100))).containsExactly(2L);
    assertThat(p.waiting()).isEqualTo(1);
    List<Decision> late = p.release(250, 1);
    assertThat(refused(late)).containsExactly(3L);
    assertThat(granted(late)).isEmpty();
    assertThat(p.held()).isZero();
  }

  @Test
  void oneUsersBurstDoesNotStarveAnother() {
    var p = new AdmissionQueue(database(4, 0, 0, Map.of()), 10_000);
    for (long i = 0; i < 1000; i++) {
      p.acquire(0, "burst", i, 1e9);
    }
    p.acquire(1, "calm", 5000, 1e9);
    assertThat(granted(p.release(2, 0))).containsExactly(5000L);
  }

  @Test
  void aUsersOwnLimitHolds() {
    var p =
        new AdmissionQueue(database(10, 0, 0, Map.of("a", new Setup.UserSettings(null, 2))), 100);
    for (long i = 0; i < 5; i++) {
      p.acquire(0, "a", i, 1e9);
    }
    assertThat(p.held("a")).isEqualTo(2);
    assertThat(granted(p.acquire(0, "b", 10, 1e9))).containsExactly(10L);
  }

  @Test
  void reserveSlotsGoToRequestsThatHaveWaitedLong() {
    var p = new AdmissionQueue(database(1, 1, 50, Map.of()), 100);
    p.acquire(0, "a", 1, 1e9);
    p.acquire(0, "a", 2, 1e9);
    p.acquire(0, "a", 3, 1e9);
    assertThat(p.expireAndGrant(49)).isEmpty();
    assertThat(granted(p.expireAndGrant(50))).containsExactly(2L);
    assertThat(p.expireAndGrant(500)).isEmpty();
  }

  @Test
  void nothingIsGrantedWhilePaused() {
    var p = new AdmissionQueue(database(2, 0, 0, Map.of()), 100);
    p.pause();
    assertThat(p.acquire(0, "a", 1, 1000)).isEmpty();
    assertThat(granted(p.resume(10))).containsExactly(1L);
  }

  @Test
  void theNumberOfWaitingClientsIsBounded() {
    var p = new AdmissionQueue(database(1, 0, 0, Map.of()), 1);
    p.acquire(0, "a", 1, 1000);
    p.acquire(0, "a", 2, 1000);
    assertThat(refused(p.acquire(0, "a", 3, 1000))).containsExactly(3L);
    p.cancel("a", 2);
    assertThat(p.waiting()).isZero();
  }

  @Test
  void aLowerLimitRevokesNoHeldSlot() {
    var p = new AdmissionQueue(database(3, 0, 0, Map.of()), 10);
    for (long i = 0; i < 4; i++) {
      p.acquire(0, "a", i, 1e9);
    }
    p.configure(database(1, 0, 0, Map.of()), 10);
    assertThat(p.held()).isEqualTo(3);
    assertThat(p.release(1, 0)).isEmpty();
    assertThat(p.release(1, 1)).isEmpty();
    assertThat(granted(p.release(1, 2))).containsExactly(3L);
  }

  /**
   * Over random operations: each request is decided once, no limit is exceeded, and no request
   * waits while a slot is free that its user may hold.
   */
  @Property(seed = "20261201", tries = 300)
  void slotsAreNeitherLostNorGrantedTwice(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int most) {
    var random = new Random(seed);
    var p =
        new AdmissionQueue(database(most, 0, 0, Map.of("u0", new Setup.UserSettings(null, 1))), 20);
    var state = new LinkedHashMap<Long, String>();
    var user = new HashMap<Long, String>();
    double now = 0;
    long next = 0;
    for (int step = 0; step < 200; step++) {
      now += random.nextInt(5);
      List<Decision> effects = new ArrayList<>();
      int action = random.nextInt(4);
      long ticket = ++next;
      List<Long> holders =
          state.entrySet().stream()
              .filter(e -> e.getValue().equals("held"))
              .map(Map.Entry::getKey)
              .toList();
      List<Long> waiters =
          state.entrySet().stream()
              .filter(e -> e.getValue().equals("waits"))
              .map(Map.Entry::getKey)
              .toList();
      if (action < 2) {
        user.put(ticket, "u" + random.nextInt(3));
        state.put(ticket, "waits");
        effects.addAll(p.acquire(now, user.get(ticket), ticket, now + random.nextInt(60)));
      } else if (action == 2 && !holders.isEmpty()) {
        long one = holders.get(random.nextInt(holders.size()));
        state.put(one, "over");
        effects.addAll(p.release(now, one));
      } else if (!waiters.isEmpty()) {
        long one = waiters.get(random.nextInt(waiters.size()));
        state.put(one, "over");
        p.cancel(user.get(one), one);
      }
      effects.addAll(p.expireAndGrant(now));
      for (Decision e : effects) {
        assertThat(state.get(e.ticket())).isEqualTo("waits");
        state.put(e.ticket(), e instanceof Decision.Granted ? "held" : "over");
      }
      long held = state.values().stream().filter("held"::equals).count();
      assertThat(held).isEqualTo(p.held()).isLessThanOrEqualTo(most);
      long grantable =
          state.entrySet().stream()
              .filter(e -> e.getValue().equals("waits"))
              .filter(e -> !user.get(e.getKey()).equals("u0") || p.held("u0") < 1)
              .count();
      assertThat(held == most || grantable == 0).isTrue();
    }
  }
}
