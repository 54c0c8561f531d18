package crankspar.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ArrivalTimeTest {
  private final ArrivalTime arrival = new ArrivalTime(10);

  @Test
  void whatASocketHeldAtItsFirstReadMayHaveComeSinceItWasThere() {
    assertThat(arrival.earliest(500)).isEqualTo(10);
  }

  @Test
  void whatAnEmptySocketHoldsNowCameAfterThePollBefore() {
    arrival.foundEmpty(20);
    assertThat(arrival.earliest(500)).isEqualTo(500);
    assertThat(arrival.earliest(15)).as("read since that poll").isEqualTo(20);
  }

  /**
   * What is left unread keeps the age that it had; the socket's long rest before does not count.
   */
  @Test
  void whatIsLeftUnreadKeepsItsAge() {
    arrival.foundEmpty(20);
    arrival.leftUnread(500);
    assertThat(arrival.earliest(900)).isEqualTo(500);
    arrival.leftUnread(900);
    assertThat(arrival.earliest(950)).isEqualTo(500);
    arrival.foundEmpty(960);
    assertThat(arrival.earliest(990)).isEqualTo(990);
  }
}
