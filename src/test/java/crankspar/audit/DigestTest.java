package crankspar.audit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class DigestTest {
  private static final Digest ONE =
      new Digest(
          7,
          0xabcd,
          65_535,
          -5,
          Standing.State.CATCHING_UP,
          true,
          1L << 40,
          -3,
          230,
          List.of(1, -2));

  @Test
  void isReadAsItWasWritten() throws Exception {
    assertThat(Digest.decode(ONE.encode())).isEqualTo(ONE);
  }

  /** Nothing is told as fresher than it was. */
  @Property(seed = "20261201", tries = 300)
  void agesAreRoundedUp(@ForAll int confirmed) throws Exception {
    int age = confirmed & 0xfffff;
    var d = new Digest(0, 0, 0, 0, Standing.State.CURRENT, false, 0, 0, age, List.of());
    int told = Digest.decode(d.encode()).confirmed();
    assertThat(told >= age || told == Digest.NEVER).isTrue();
  }

  @Test
  void theMostFitsIntoADatagram() throws Exception {
    var d =
        new Digest(
            1023,
            1,
            1,
            1,
            Standing.State.CURRENT,
            false,
            Long.MAX_VALUE,
            1,
            1,
            Collections.nCopies(Digest.DRAINS_MOST + 9, 5));
    assertThat(d.encode().length).isLessThanOrEqualTo(Digest.MOST);
    assertThat(Digest.decode(d.encode()).drains()).hasSize(Digest.DRAINS_MOST);
  }

  @Test
  void aByteThatChangedIsNoticedWhereverItIs() {
    byte[] whole = ONE.encode();
    for (int i = 0; i < whole.length; i++) {
      byte[] torn = whole.clone();
      torn[i] ^= 0x10;
      assertThatThrownBy(() -> Digest.decode(torn))
          .as("byte " + i)
          .isInstanceOf(Digest.Malformed.class);
    }
  }

  @Property(seed = "20261201", tries = 2000)
  void anyBytesAreReadWithinBounds(@ForAll @Size(max = 300) byte[] bytes, @ForAll long seed) {
    try {
      Digest.decode(bytes);
      Digest.decode(
          new Random(seed)
              .ints(60, 0, 255)
              .collect(() -> new byte[60], (b, n) -> b[n % 60] = (byte) n, (a, b) -> {}));
    } catch (Digest.Malformed e) {
      assertThat(e.getMessage()).isNotBlank();
    }
  }
}
