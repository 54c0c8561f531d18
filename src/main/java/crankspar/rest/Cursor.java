package crankspar.rest;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * Where a walk through pages stands: whose pages they are, the server's own mark for what follows,
 * and the position that has been shown. The next page comes from data at least as new, whichever
 * replica answers.
 */
record Cursor(String kind, int group, String key, double shown, String after) {
  private static final int MOST = 2048;
  private static final String VERSION = "1";

  /** A cursor that this program did not write, or wrote for other pages. */
  static final class Malformed extends Exception {
    Malformed(String message) {
      super(message);
    }
  }

  /** Opaque to clients, so that its content may change. */
  String encode() {
    String text =
        String.join(
            "\n",
            VERSION,
            kind,
            Integer.toString(group),
            key == null ? "" : key,
            Long.toString((long) Math.floor(shown)),
            after);
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  static Cursor decode(String text, String kind, int group, String key) throws Malformed {
    try {
      if (text.length() > MOST) {
        throw new Malformed("the cursor is too long");
      }
      String[] parts =
          new String(Base64.getUrlDecoder().decode(text), StandardCharsets.UTF_8).split("\n", 6);
      if (parts.length != 6 || !parts[0].equals(VERSION)) {
        throw new Malformed("this is no cursor");
      }
      var cursor =
          new Cursor(
              parts[1],
              Integer.parseInt(parts[2]),
              parts[3].isEmpty() ? null : parts[3],
              Long.parseLong(parts[4]),
              parts[5]);
      if (!cursor.kind.equals(kind)
          || cursor.group != group
          || !java.util.Objects.equals(cursor.key, key)) {
        throw new Malformed("the cursor belongs to other pages");
      }
      return cursor;
    } catch (IllegalArgumentException e) {
      throw new Malformed("this is no cursor");
    }
  }
}
