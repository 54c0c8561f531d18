package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.PMap;

/**
 * Statements to run around a Parse that requires options other than the session's current ones.
 * They run in the client's own transaction and are rolled back with it.
 *
 * @param before establishes the options that the Parse requires
 * @param after restores the options of the session and those local to its transaction
 */
record OptionsChange(List<String> before, List<String> after) {

  /**
   * Returns the statements around a Parse that needs {@code required} in a session with {@code
   * current}.
   */
  static OptionsChange around(StatementOptions required, SessionOptions current) {
    PMap<String, String> requiredValues = required.values();
    PMap<String, String> all = current.statementOptions().values();
    PMap<String, String> session = StatementOptions.of(current.session()).values();
    var after = new ArrayList<String>(StateDiff.optionChanges(requiredValues, session));
    for (Map.Entry<String, String> e : new TreeMap<>(current.local()).entrySet()) {
      String name = e.getKey();
      boolean affectsParsing = all.containsKey(name);
      boolean changed =
          !e.getValue().equals(requiredValues.get(name)) || !e.getValue().equals(session.get(name));
      if (affectsParsing && changed) {
        after.add(StateDiff.setLocal(name, e.getValue()));
      }
    }
    return new OptionsChange(StateDiff.optionChanges(all, requiredValues), after);
  }
}
