package crankspar.pooling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.PMap;

/**
 * The statements around a Parse that has to be read under other options than its session's present
 * ones. They run in the client's own transaction: where that is rolled back, so are they.
 *
 * @param before bring about the options of the Parse
 * @param after restore the session's, and those local to its transaction
 */
record OptionsChange(List<String> before, List<String> after) {

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
