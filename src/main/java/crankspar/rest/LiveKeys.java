package crankspar.rest;

import crankspar.wal.RecordLog.Logged;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which records of a log of keys are worth keeping: those of keys that were not released since and
 * whose last record is not too old. It reads the log in its order, as a start does.
 */
final class LiveKeys {
  private static final class Key {
    final long writer;
    final List<Integer> records = new ArrayList<>();
    double lastTime;

    Key(long writer) {
      this.writer = writer;
    }
  }

  private final Map<String, Key> keys = new HashMap<>();
  private final boolean[] kept;

  private LiveKeys(int records) {
    kept = new boolean[records];
  }

  /** {@code keep} is how long (ms) a key is kept after its last record. */
  static List<Logged> of(List<Logged> records, double keep) {
    var live = new LiveKeys(records.size());
    for (int i = 0; i < records.size(); i++) {
      live.read(i, records.get(i));
    }
    double latest = records.isEmpty() ? 0 : records.get(records.size() - 1).time();
    live.keys.values().stream()
        .filter(key -> latest - key.lastTime < keep)
        .forEach(key -> key.records.forEach(i -> live.kept[i] = true));
    var result = new ArrayList<Logged>();
    for (int i = 0; i < records.size(); i++) {
      if (live.kept[i]) {
        result.add(records.get(i));
      }
    }
    return result;
  }

  private void read(int index, Logged logged) {
    KeyRecord record = KeyRecord.decode(logged.record()).orElse(null);
    if (record == null) {
      kept[index] = true; // a later release's
      return;
    }
    Key key = keys.get(record.key());
    if (record instanceof KeyRecord.Begun && key == null) {
      key = new Key(record.writer());
      keys.put(record.key(), key);
    }
    if (key == null || key.writer != record.writer()) {
      return;
    }
    if (record instanceof KeyRecord.Released) {
      keys.remove(record.key());
      return;
    }
    key.records.add(index);
    key.lastTime = logged.time();
  }
}
