package crankspar.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A benchmark's figures and the promises that it found broken: one JSON line, and the exit code
 * that goes with it.
 */
public final class Promises {
  private final Map<String, Number> figures = new LinkedHashMap<>();
  private final List<String> broken = new ArrayList<>();

  public void put(String name, Number value) {
    figures.put(name, value);
  }

  /** Names what is broken where it is not kept. */
  public void keep(boolean kept, String what) {
    if (!kept) {
      broken.add(what);
    }
  }

  /** To four places, as the line shows it. */
  public static double round(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }

  /** Prints the line; 1 where a promise is broken. */
  public int tell() {
    var text = new StringBuilder("{");
    figures.forEach(
        (k, v) ->
            text.append('"')
                .append(k)
                .append("\": ")
                .append(
                    v instanceof Double d ? String.format(Locale.ROOT, "%.4f", d) : v.toString())
                .append(", "));
    System.out.println(
        text.append("\"broken\": [")
            .append(String.join(", ", broken.stream().map(b -> "\"" + b + "\"").toList()))
            .append("]}"));
    return broken.isEmpty() ? 0 : 1;
  }
}
