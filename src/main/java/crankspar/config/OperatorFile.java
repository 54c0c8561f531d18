package crankspar.config;

import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator's file as it stands: HOCON, of which JSON is a part, with includes and {@code
 * ${?VARIABLES}}.
 */
public final class OperatorFile {
  private OperatorFile() {}

  /** Reads it whole; a file that cannot be read is one line with the place. */
  public static Section read(Path file, List<Section.InForce> inForce) throws Config.Bad {
    try {
      ConfigObject root =
          ConfigFactory.parseFile(
                  file.toFile(),
                  ConfigParseOptions.defaults().setSyntax(ConfigSyntax.CONF).setAllowMissing(false))
              .resolve()
              .root();
      return new Section(file.toString(), "", root, inForce);
    } catch (ConfigException e) {
      String at = e.origin() == null ? file.toString() : Section.at(file.toString(), e.origin());
      String why = Config.brief(new IllegalArgumentException(e.getMessage()));
      throw new Config.Bad(
          at + ": operator", "cannot be read: " + why.replaceFirst("^.*?: [0-9]+: ", ""));
    }
  }

  /** What is in force, a line a value, each with its origin. */
  static List<String> lines(List<Section.InForce> inForce) {
    int width =
        inForce.stream()
            .mapToInt(v -> v.path().length() + v.value().length() + 3)
            .filter(n -> n < 70)
            .max()
            .orElse(0);
    var lines = new ArrayList<String>();
    for (Section.InForce v : inForce) {
      String set = v.path() + " = " + v.value();
      lines.add(
          set
              + " ".repeat(Math.max(1, width - set.length() + 1))
              + "# "
              + (v.origin() == null ? "default" : v.origin()));
    }
    return lines;
  }
}
