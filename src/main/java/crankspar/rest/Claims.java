package crankspar.rest;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The writes that came with an idempotency key. A key whose write may have run is never sent again:
 * a repeat gets the recorded answer, or a conflict while there is none. Records end by age alone.
 * When there is no room for one more, new keys are refused: dropping a record could let its write
 * run twice.
 */
final class Claims {
  /** What a key stands for. */
  sealed interface State {
    /** Not seen: go on. */
    record New() implements State {}

    /** No room to remember it. */
    record Full() implements State {}

    /** Seen with another content. */
    record Other() implements State {}

    record Running() implements State {}

    /** It ended without proof of whether it ran. */
    record Unknown() implements State {}

    /** The recorded answer. */
    record Answered(byte[] response) implements State {}
  }

  private static final class Entry {
    final int fingerprint;
    final byte[] body;
    double since;
    State state = new State.Running();

    Entry(byte[] body, double since) {
      this.body = body;
      this.since = since;
      fingerprint = java.util.Arrays.hashCode(body);
    }

    int size() {
      return 200 + body.length + (state instanceof State.Answered a ? a.response().length : 0);
    }
  }

  private final int bytesMost;
  private final double keep;
  private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
  private int bytes;

  Claims(int bytesMost, double keep) {
    this.bytesMost = bytesMost;
    this.keep = keep;
  }

  /** The state of a key; a new one is running from here on. */
  State begin(String key, byte[] body, double now) {
    expire(now);
    Entry e = entries.get(key);
    if (e != null) {
      boolean same =
          e.fingerprint == java.util.Arrays.hashCode(body) && java.util.Arrays.equals(e.body, body);
      return same ? e.state : new State.Other();
    }
    if (bytes >= bytesMost) {
      return new State.Full();
    }
    e = new Entry(body, now);
    entries.put(key, e);
    bytes += e.size();
    return new State.New();
  }

  /** It never ran: the key is free again. */
  void release(String key) {
    remove(key);
  }

  void answered(String key, byte[] response, double now) {
    settle(key, new State.Answered(response), now);
  }

  void unknown(String key, double now) {
    settle(key, new State.Unknown(), now);
  }

  private void settle(String key, State state, double now) {
    Entry e = remove(key);
    if (e != null) {
      e.state = state;
      e.since = now;
      entries.put(key, e);
      bytes += e.size();
    }
  }

  private Entry remove(String key) {
    Entry e = entries.remove(key);
    bytes -= e == null ? 0 : e.size();
    return e;
  }

  /** In the order of settling; what still runs is kept, and ends by its own deadline. */
  private void expire(double now) {
    var it = entries.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<String, Entry> next = it.next();
      if (next.getValue().state instanceof State.Running) {
        continue;
      }
      if (now - next.getValue().since < keep) {
        return;
      }
      bytes -= next.getValue().size();
      it.remove();
    }
  }
}
