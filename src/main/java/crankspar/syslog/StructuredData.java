package crankspar.syslog;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One SD-ELEMENT of RFC 5424, given to a log call as its parameter: {@code LOG.log(Level.INFO,
 * "member drained", StructuredData.of("member", "id", id))}.
 */
public record StructuredData(String id, Map<String, String> values) {
  /**
   * 32473 is the enterprise number kept for documentation (RFC 5612): the operator's file may name
   * another.
   */
  static final String ENTERPRISE = "32473";

  public StructuredData {
    values = new LinkedHashMap<>(values);
  }

  /** An element of the program's own: names and values in turn. */
  public static StructuredData of(String name, Object... pairs) {
    var values = new LinkedHashMap<String, String>();
    for (int i = 0; i + 1 < pairs.length; i += 2) {
      values.put(String.valueOf(pairs[i]), String.valueOf(pairs[i + 1]));
    }
    return new StructuredData(name, values);
  }
}
