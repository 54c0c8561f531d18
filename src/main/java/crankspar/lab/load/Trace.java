package crankspar.lab.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import crankspar.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A recorded trace: CSV with the head {@code time,class,session}, or JSON lines with those names;
 * times in ms, not falling. It is read whole before anything is sent: a fault is one line with file
 * and line, and nothing half played.
 */
public final class Trace {
  /** A trace that cannot be played. */
  public static final class Bad extends Exception {
    Bad(Path file, long line, String why) {
      super(file + ":" + line + ": " + why);
    }
  }

  private static final int LINES_MOST = 20_000_000;

  private Trace() {}

  /** The requests, from time 0 on, with times multiplied by {@code scale}. */
  public static List<Asked> read(Path file, List<Workload.Kind> kinds, int groups, double scale)
      throws IOException, Bad {
    var numbers = new HashMap<String, Integer>();
    kinds.forEach(k -> numbers.put(k.name(), numbers.size()));
    var sessions = new HashMap<String, Integer>();
    var all = new ArrayList<Asked>();
    double first = Double.NaN;
    double last = Double.NEGATIVE_INFINITY;
    long line = 0;
    boolean csv = false;
    try (var lines = Files.newBufferedReader(file)) {
      for (String text = lines.readLine(); text != null; text = lines.readLine()) {
        if (++line > LINES_MOST) {
          throw new Bad(file, line, "more than " + LINES_MOST + " lines");
        }
        if (line == 1 && text.replace(" ", "").equals("time,class,session")) {
          csv = true;
          continue;
        }
        if (text.isBlank()) {
          continue;
        }
        String[] fields = csv ? csv(file, line, text) : json(file, line, text);
        double at = number(file, line, fields[0]);
        Integer kind = numbers.get(fields[1]);
        if (kind == null) {
          throw new Bad(
              file,
              line,
              "unknown class "
                  + fields[1]
                  + ", known are "
                  + String.join(", ", numbers.keySet().stream().sorted().toList()));
        }
        if (at < last) {
          throw new Bad(file, line, "its time " + fields[0] + " is before the line's above it");
        }
        last = at;
        first = Double.isNaN(first) ? at : first;
        int session = sessions.computeIfAbsent(fields[2], k -> sessions.size());
        all.add(new Asked(all.size(), (at - first) * scale, kind, session, session % groups));
      }
    }
    if (all.isEmpty()) {
      throw new Bad(file, line, "no request in it");
    }
    return all;
  }

  private static double number(Path file, long line, String text) throws Bad {
    if (!text.matches("[0-9]{1,16}(\\.[0-9]{1,9})?")) {
      throw new Bad(file, line, "time is no number of ms: " + text);
    }
    return Double.parseDouble(text);
  }

  private static String[] csv(Path file, long line, String text) throws Bad {
    String[] fields = text.split(",", -1);
    if (fields.length != 3) {
      throw new Bad(
          file, line, "torn: " + fields.length + " fields where time,class,session were expected");
    }
    return new String[] {fields[0].strip(), fields[1].strip(), fields[2].strip()};
  }

  private static String[] json(Path file, long line, String text) throws Bad {
    try {
      Map<?, ?> o = Json.object(text);
      if (o.get("time") == null || o.get("class") == null || o.get("session") == null) {
        throw new Bad(file, line, "time, class or session is missing");
      }
      Object time = o.get("time");
      return new String[] {
        time instanceof Double d
            ? java.math.BigDecimal.valueOf(d).toPlainString()
            : String.valueOf(time),
        String.valueOf(o.get("class")),
        String.valueOf(o.get("session"))
      };
    } catch (JsonProcessingException e) {
      throw new Bad(file, line, "torn: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new Bad(file, line, "torn: " + e.getMessage());
    }
  }
}
