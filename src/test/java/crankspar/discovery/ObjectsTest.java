package crankspar.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ObjectsTest {
  private final List<String> seen = new ArrayList<>();

  private Objects objects() {
    return new Objects(
        new Objects.Hearer() {
          @Override
          public boolean object(String text) {
            return seen.add(text);
          }

          @Override
          public boolean emptyLine() {
            return seen.add("");
          }

          @Override
          public void malformed(String why) {
            seen.add("malformed: " + why);
          }
        });
  }

  private static final String INDENTED =
      "{\n  \"a\": [\n    {\"b\": \"}\\\"]\\\\\"}\n  ],\n\n  \"c\": \"\u00e9\"\n}";

  /**
   * Lists come on one line or indented, cut anywhere; an empty line within one is no sign of life.
   */
  @Test
  void objectsAreCutHoweverTheyAreLaidOut() {
    byte[] all = ("\n" + INDENTED + "\n{\"d\":1}\r\n\r\n{}{}\n").getBytes(StandardCharsets.UTF_8);
    for (int cut = 0; cut <= all.length; cut++) {
      seen.clear();
      Objects o = objects();
      o.feed(java.util.Arrays.copyOf(all, cut));
      o.feed(java.util.Arrays.copyOfRange(all, cut, all.length));
      assertThat(seen).containsExactly("", INDENTED, "{\"d\":1}", "", "{}", "{}");
    }
  }

  @Test
  void whatNeverEndsIsBoundedAndWhatIsNoObjectIsRefused() {
    Objects o = objects();
    o.feed("{\"a\":\"".getBytes(StandardCharsets.UTF_8));
    byte[] junk = "x".repeat(1 << 16).getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < 40; i++) {
      o.feed(junk);
    }
    assertThat(seen).hasSize(1).allMatch(s -> s.startsWith("malformed: a list of more than"));
    objects().feed("[1]\n".getBytes(StandardCharsets.UTF_8));
    assertThat(seen).hasSize(2).last().asString().contains("no object");
  }
}
