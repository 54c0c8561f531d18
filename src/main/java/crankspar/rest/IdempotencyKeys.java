package crankspar.rest;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The writes that came with an idempotency key. A key whose write may have run is never sent again:
 * a repeat gets the recorded answer, or a conflict while there is none. Records end by age alone.
 * When there is no room for one more, new keys are refused: dropping a record could let its write
 * run twice.
 *
 * <p>It knows no clock and no file: times (ms) are arguments, and what earlier lives and other
 * processes have logged comes as {@link KeyRecord}s, in the order of the log. Of two processes that
 * begin the same key the first in the log has it.
 */
final class IdempotencyKeys {
  /** What a key stands for. */
  sealed interface State {
    /** Not seen: go on. */
    record New() implements State {}

    /** No room to remember it. */
    record Full() implements State {}

    /** Seen with another content. */
    record Other() implements State {}

    /** This process is at work on it. */
    record Running() implements State {}

    /** It is not known whether it has run: this process's attempt, or another process's. */
    record Unknown() implements State {}

    /** The recorded answer. */
    record Answered(byte[] response) implements State {}
  }

  /** What a key weighs in memory beside its name and its answer (bytes). */
  private static final int ENTRY_BYTES = 200;

  private static final class Entry {
    final KeyDigest digest;
    final long writer;
    double since;

    /** Its beginning is in the log, before any other process's. */
    boolean kept;

    State state;

    Entry(KeyDigest digest, long writer, double since, State state) {
      this.digest = digest;
      this.writer = writer;
      this.since = since;
      this.state = state;
    }
  }

  private final int bytesMost;
  private final double keep;
  private final long writer;
  private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
  private int bytes;

  /**
   * {@code writer} is this process's life; {@code keep} is how long (ms) a key is kept after its
   * end.
   */
  IdempotencyKeys(int bytesMost, double keep, long writer) {
    this.bytesMost = bytesMost;
    this.keep = keep;
    this.writer = writer;
  }

  /** The state of a key; a new one is running from here on. */
  State begin(String key, KeyDigest digest, double now) {
    expire(now);
    Entry entry = entries.get(key);
    if (entry != null && isOver(entry, now)) {
      remove(key);
    } else if (entry != null) {
      return entry.digest.equals(digest) ? entry.state : new State.Other();
    }
    if (bytes >= bytesMost) {
      return new State.Full();
    }
    add(key, new Entry(digest, writer, now, new State.Running()));
    return new State.New();
  }

  /** What a key stands for now; new where it is not known. */
  State state(String key, KeyDigest digest) {
    Entry entry = entries.get(key);
    if (entry == null) {
      return new State.New();
    }
    return entry.digest.equals(digest) ? entry.state : new State.Other();
  }

  /** Whether another process, or an earlier one, may still tell more of this key. */
  boolean isElsewhere(String key) {
    Entry entry = entries.get(key);
    return entry != null && entry.writer != writer && entry.state instanceof State.Unknown;
  }

  /** Its beginning is in the log; whether the key is this process's, so that it may be sent. */
  boolean kept(String key) {
    Entry entry = entries.get(key);
    boolean ours = entry != null && entry.writer == writer;
    if (ours) {
      entry.kept = true;
    }
    return ours;
  }

  /** It never ran: the key is free again. */
  void release(String key) {
    Entry entry = entries.get(key);
    if (entry != null && entry.writer == writer) {
      remove(key);
    }
  }

  void answered(String key, byte[] response, double now) {
    settle(key, new State.Answered(response), now);
  }

  void unknown(String key, double now) {
    settle(key, new State.Unknown(), now);
  }

  /**
   * What another process has logged, or an earlier one: the next record in the log's order, logged
   * at {@code since} or after.
   */
  void apply(KeyRecord record, double since) {
    if (record.writer() == writer) {
      return;
    }
    Entry entry = entries.get(record.key());
    if (record instanceof KeyRecord.Begun b) {
      if (entry == null || entry.writer == writer && !entry.kept) {
        remove(b.key());
        add(b.key(), new Entry(b.digest(), b.writer(), since, new State.Unknown()));
      }
    } else if (entry != null && entry.writer == record.writer()) {
      if (record instanceof KeyRecord.Answered a) {
        settle(a.key(), new State.Answered(a.response()), since);
      } else {
        remove(record.key());
      }
    }
  }

  private void settle(String key, State state, double now) {
    Entry entry = entries.get(key);
    if (entry != null) {
      bytes -= size(key, entry);
      entry.state = state;
      entry.since = now;
      bytes += size(key, entry);
    }
  }

  private void add(String key, Entry entry) {
    entries.put(key, entry);
    bytes += size(key, entry);
  }

  private Entry remove(String key) {
    Entry entry = entries.remove(key);
    bytes -= entry == null ? 0 : size(key, entry);
    return entry;
  }

  private static int size(String key, Entry entry) {
    int answer = entry.state instanceof State.Answered a ? a.response().length : 0;
    return ENTRY_BYTES + key.length() + answer;
  }

  /** In the order of their beginning, up to the first that is young. */
  private void expire(double now) {
    Iterator<Map.Entry<String, Entry>> all = entries.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<String, Entry> next = all.next();
      if (isOver(next.getValue(), now)) {
        bytes -= size(next.getKey(), next.getValue());
        all.remove();
      } else if (!(next.getValue().state instanceof State.Running)) {
        return;
      }
    }
  }

  /** What still runs is kept, and ends by its own deadline. */
  private boolean isOver(Entry entry, double now) {
    return !(entry.state instanceof State.Running) && now - entry.since >= keep;
  }
}
