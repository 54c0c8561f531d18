package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The turns of long texts. */
class LongTextsTest {
  @Test
  void theNextLongTextWaitsForAMultipleOfWhatTheLastTook() {
    var texts = new LongTexts();
    assertThat(texts.mayRead(0)).isTrue();
    texts.read(1000, 1040);
    assertThat(texts.mayRead(1159)).isFalse();
    assertThat(texts.mayRead(1160)).isTrue();
  }

  /** Guards against a stop of the process that counts as work, so that all are refused after it. */
  @Test
  void aStopWhileATextIsReadRefusesNobody() {
    var texts = new LongTexts();
    texts.read(1000, 31_000);
    assertThat(texts.openAt()).isLessThanOrEqualTo(31_000 + LongTexts.WAIT_MOST_MS);
  }

  @Test
  void onlyTextsThatAreReadCount() {
    String text = "x".repeat(LongTexts.LONG_BYTES);
    assertThat(LongTexts.isLong(Frame.query(text))).isTrue();
    assertThat(LongTexts.isLong(Frame.query("SELECT 1"))).isFalse();
    assertThat(LongTexts.isLong(Frame.body().text(text).as('d'))).isFalse();
  }
}
