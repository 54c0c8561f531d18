package crankspar.config;

import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigList;
import com.typesafe.config.ConfigMemorySize;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigOrigin;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueType;
import crankspar.net.Addresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One object of the operator's file, read key by key. Every value that is asked for is noted with
 * where it came from, so that what is in force can be printed; a key that nothing asked for is an
 * error, with the nearest name that something does ask for. Guards against a setting that is
 * misspelt and silently not in force.
 */
public final class Section {
  /**
   * A value in force: its whole name, its text, and the line that set it or null where it is a
   * default.
   */
  public record InForce(String path, String value, String origin) {}

  private static final Pattern DURATION =
      Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(ns|us|ms|s|m|h|d)?");
  private static final Map<String, Double> UNITS =
      Map.of("ns", 1e-6, "us", 1e-3, "ms", 1.0, "s", 1e3, "m", 6e4, "h", 3.6e6, "d", 8.64e7);

  private final String file;
  private final String path;
  private final ConfigObject object;
  private final List<InForce> inForce;
  private final Collection<String> asked = new TreeSet<>();

  Section(String file, String path, ConfigObject object, List<InForce> inForce) {
    this.file = file;
    this.path = path;
    this.object = object;
    this.inForce = inForce;
  }

  String path() {
    return path;
  }

  private String name(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /**
   * Where a value stands, as {@code FILE:LINE}; a value that came from the environment has no line.
   */
  static String at(String file, ConfigOrigin origin) {
    String name =
        origin.filename() == null ? file : origin.filename(); // another one where it was included
    return origin.lineNumber() > 0 ? name + ":" + origin.lineNumber() : name;
  }

  public Config.Bad bad(String key, String why) {
    ConfigValue value = object.get(key);
    return new Config.Bad(
        at(file, value == null ? object.origin() : value.origin()) + ": " + name(key), why);
  }

  private Config.Bad wrong(String key, String allowed) {
    return bad(key, "found " + shown(object.get(key)) + ", allowed is " + allowed);
  }

  private static String shown(ConfigValue value) {
    if (value == null) {
      return "nothing";
    }
    String text = value.render(com.typesafe.config.ConfigRenderOptions.concise());
    return text.length() > 60 ? text.substring(0, 60) + "..." : text;
  }

  boolean has(String key) {
    asked.add(key);
    ConfigValue value = object.get(key);
    return value != null && value.valueType() != ConfigValueType.NULL;
  }

  private void note(String key, String value) {
    inForce.add(
        new InForce(name(key), value, has(key) ? at(file, object.get(key).origin()) : null));
  }

  /** A text, also where a number or a flag stands without quotes; {@code absent} may be null. */
  public String text(String key, String absent) throws Config.Bad {
    if (!has(key)) {
      note(key, absent == null ? "(not set)" : absent);
      return absent;
    }
    ConfigValueType type = object.get(key).valueType();
    if (type == ConfigValueType.OBJECT || type == ConfigValueType.LIST) {
      throw wrong(key, "a text");
    }
    String text = String.valueOf(object.get(key).unwrapped());
    note(key, text);
    return text;
  }

  public String text(String key) throws Config.Bad {
    String text = text(key, null);
    if (text == null || text.isEmpty()) {
      throw wrong(key, "a text that is not empty");
    }
    return text;
  }

  public boolean flag(String key, boolean absent) throws Config.Bad {
    String text = text(key, Boolean.toString(absent));
    return switch (text) {
      case "true", "on", "yes" -> true;
      case "false", "off", "no" -> false;
      default -> throw wrong(key, "true or false");
    };
  }

  public <T> T word(String key, String absent, Map<String, T> words) throws Config.Bad {
    String text = text(key, absent);
    T found = words.get(text);
    if (found == null) {
      throw wrong(key, "one of " + String.join(", ", new TreeSet<>(words.keySet())));
    }
    return found;
  }

  public int count(String key, int absent, int least, int most) throws Config.Bad {
    String text = text(key, Integer.toString(absent));
    if (!text.matches("[0-9]{1,9}")
        || Integer.parseInt(text) < least
        || Integer.parseInt(text) > most) {
      throw wrong(key, "a whole number from " + least + " to " + most);
    }
    return Integer.parseInt(text);
  }

  /** A duration in ms: {@code 250ms}, {@code 1.5s}, {@code 2m}; a plain number is ms. */
  public double millis(String key, double absent, double least, double most) throws Config.Bad {
    String text = text(key, plain(absent) + "ms");
    Matcher m = DURATION.matcher(text.strip());
    double ms =
        m.matches()
            ? Double.parseDouble(m.group(1)) * (m.group(2) == null ? 1 : UNITS.get(m.group(2)))
            : Double.NaN;
    if (!(ms >= least && ms <= most)) {
      throw wrong(
          key,
          "a duration from "
              + plain(least)
              + "ms to "
              + plain(most)
              + "ms, such as 250ms, 1.5s, 2m");
    }
    return ms;
  }

  private static String plain(double ms) {
    return ms == Math.rint(ms) ? Long.toString((long) ms) : Double.toString(ms);
  }

  /** A plain number. */
  public double number(String key, double absent, double least, double most) throws Config.Bad {
    String text = text(key, plain(absent));
    double value =
        text.matches("[0-9]{1,12}(\\.[0-9]{1,9})?") ? Double.parseDouble(text) : Double.NaN;
    if (!(value >= least && value <= most)) {
      throw wrong(key, "a number from " + plain(least) + " to " + plain(most));
    }
    return value;
  }

  /** A size in bytes: {@code 64KiB}, {@code 1MB}; a plain number is bytes. */
  public int bytes(String key, int absent, int least, int most) throws Config.Bad {
    if (!has(key)) {
      note(key, Integer.toString(absent));
      return absent;
    }
    try {
      ConfigMemorySize size =
          object.toConfig().getMemorySize(com.typesafe.config.ConfigUtil.joinPath(key));
      long bytes = size.toBytes();
      if (bytes >= least && bytes <= most) {
        note(key, Long.toString(bytes));
        return (int) bytes;
      }
    } catch (ConfigException e) {
      // said below, in the same words as a size out of range
    }
    throw wrong(key, "a size from " + least + " to " + most + " bytes, such as 64KiB, 1MB");
  }

  InetSocketAddress address(String key) throws Config.Bad {
    String text = text(key);
    try {
      return Addresses.parse(text);
    } catch (IllegalArgumentException e) {
      throw wrong(key, "a literal address and port, such as 127.0.0.1:6432");
    }
  }

  InetSocketAddress addressOrNull(String key) throws Config.Bad {
    return has(key) ? address(key) : null;
  }

  List<InetSocketAddress> addresses(String key) throws Config.Bad {
    var all = new ArrayList<InetSocketAddress>();
    if (has(key)) {
      if (!(object.get(key) instanceof ConfigList list)) {
        throw wrong(key, "a list of addresses");
      }
      for (ConfigValue one : list) {
        try {
          all.add(Addresses.parse(String.valueOf(one.unwrapped())));
        } catch (IllegalArgumentException e) {
          throw wrong(key, "a list of literal addresses and ports");
        }
      }
    }
    note(key, all.toString());
    return all;
  }

  /** The object under a key, or null where there is none. */
  Section part(String key) throws Config.Bad {
    if (!has(key)) {
      return null;
    }
    if (!(object.get(key) instanceof ConfigObject inner)) {
      throw wrong(key, "an object");
    }
    return new Section(file, name(key), inner, inForce);
  }

  /**
   * The object under a key, empty where there is none: for parts whose every value has a default.
   */
  Section partOrEmpty(String key) throws Config.Bad {
    Section found = part(key);
    return found != null
        ? found
        : new Section(
            file, name(key), com.typesafe.config.ConfigValueFactory.fromMap(Map.of()), inForce);
  }

  /** All objects under a key, by their names: databases, users. */
  public Map<String, Section> parts(String key) throws Config.Bad {
    var all = new LinkedHashMap<String, Section>();
    Section outer = part(key);
    if (outer != null) {
      for (String name : new TreeSet<>(outer.object.keySet())) {
        all.put(name, outer.part(name));
      }
    }
    return all;
  }

  /** The object under a key as it is, for readers with names of their own. */
  Map<?, ?> raw(String key) throws Config.Bad {
    Section inner = part(key);
    if (inner == null) {
      return null;
    }
    inForce.add(new InForce(name(key), "{...}", at(file, inner.object.origin())));
    return inner.object.unwrapped();
  }

  /** Where inside the object under {@code key} a complaint that names one of its keys belongs. */
  Config.Bad badInside(String key, String why) {
    ConfigValue inner = object.get(key);
    ConfigOrigin at = inner instanceof ConfigObject o ? find(o, why) : null;
    return at == null ? bad(key, why) : new Config.Bad(at(file, at) + ": " + name(key), why);
  }

  private static ConfigOrigin find(ConfigObject object, String why) {
    for (Map.Entry<String, ConfigValue> e : object.entrySet()) {
      if (Pattern.compile("(?i)\\b" + Pattern.quote(e.getKey()) + "\\b").matcher(why).find()) {
        return e.getValue().origin();
      }
    }
    for (ConfigValue value : object.values()) {
      ConfigOrigin deeper = value instanceof ConfigObject o ? find(o, why) : null;
      if (deeper != null) {
        return deeper;
      }
    }
    return null;
  }

  /** Said once all known keys have been asked for. */
  public void done() throws Config.Bad {
    for (String key : new TreeSet<>(object.keySet())) {
      if (!asked.contains(key)) {
        throw bad(key, "is no setting here; the nearest is " + nearest(key, asked));
      }
    }
  }

  private static String nearest(String key, Collection<String> names) {
    String best = "none";
    int least = Integer.MAX_VALUE;
    for (String name : names) {
      int d = distance(key.toLowerCase(java.util.Locale.ROOT), name);
      if (d < least) {
        least = d;
        best = name;
      }
    }
    return best;
  }

  /** Levenshtein's distance. */
  static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int above = row[j];
        row[j] =
            Math.min(
                Math.min(row[j], row[j - 1]) + 1,
                diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1));
        diagonal = above;
      }
    }
    return row[b.length()];
  }
}
