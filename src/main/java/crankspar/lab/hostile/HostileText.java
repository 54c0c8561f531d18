package crankspar.lab.hostile;

import java.util.List;
import java.util.Random;

/** Texts that are costly for a parser which does not bound its time, its memory or its depth. */
public final class HostileText {
  /** Names that fill the comment of a statement of a megabyte. */
  private static final int NAMES = 158_000;

  private static final int SHORT_SETS = 70_000;
  private static final int NAME_PARTS = 100_000;
  private static final int SEMICOLONS = 1_000_000;

  /** A startup message may have 10,000 bytes. */
  private static final int STARTUP_NAME_PARTS = 1_400;

  /** Parts that mean something to one of the parsers. */
  private static final List<String> PARTS =
      List.of(
          ";",
          ",",
          ".",
          "a",
          "a.",
          ".a",
          "=b",
          "a=b,",
          "(",
          ")",
          "'",
          "\"",
          "$",
          "$a$",
          "$$",
          "/*",
          "*/",
          "--",
          "\n",
          " ",
          "\\",
          "\\ ",
          "e'",
          "SET a=1;",
          "SET a.b TO 'c';",
          "SELECT 1;",
          "set_config('a','b',false),",
          "pg_advisory_lock(1),",
          "LISTEN a;",
          "SAVEPOINT a;",
          "PREPARE a AS SELECT 1;",
          "ROLLBACK TO a;",
          "DECLARE a CURSOR WITH HOLD FOR SELECT 1;",
          "RESET a;",
          "1",
          "\u00e9",
          "\uffff",
          "-c a=b ",
          "--a=b ",
          "BEGIN;",
          "for update ");

  private HostileText() {}

  /** The parts that drawn texts consist of. */
  public static List<String> parts() {
    return PARTS;
  }

  /** A part again and again, up to a length (characters). */
  public static String repeated(String part, int length) {
    return part.repeat(length / part.length());
  }

  /** A mix of up to four parts, in runs of drawn lengths, some with numbers between them. */
  public static String drawn(Random random, int length) {
    var text = new StringBuilder(length + 64);
    int kinds = 1 + random.nextInt(4);
    String[] parts =
        random.ints(kinds, 0, PARTS.size()).mapToObj(PARTS::get).toArray(String[]::new);
    int longestRun = 1 << random.nextInt(18);
    while (text.length() < length) {
      text.append(parts[random.nextInt(kinds)].repeat(1 + random.nextInt(longestRun)));
      if (random.nextInt(8) == 0) {
        text.append(text.length()); // names that differ
      }
    }
    return text.substring(0, length);
  }

  /** A read of the platform's front, with very many names in its comment. */
  static String namesInComment(long number) {
    var names = new StringBuilder(8 * NAMES);
    for (int i = 0; i < NAMES; i++) {
      names.append(',');
      for (int n = i, letter = 0; letter < 4; n /= 26, letter++) {
        names.append((char) ('a' + n % 26));
      }
      names.append("=b");
    }
    return "/* id=h%x,c=check,d=2000,cluster=2%s */ SELECT val FROM state WHERE uid = 'u'"
        .formatted(number, names);
  }

  static String semicolons() {
    return ";".repeat(SEMICOLONS);
  }

  static String shortSets() {
    return "SET a.b = 1;".repeat(SHORT_SETS);
  }

  static String longOptionName() {
    return "SET a" + ".a".repeat(NAME_PARTS) + " = 1";
  }

  /** A name of a startup parameter. */
  static String startupName() {
    return "a" + ".a".repeat(STARTUP_NAME_PARTS);
  }
}
