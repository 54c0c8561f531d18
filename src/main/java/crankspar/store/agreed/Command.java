package crankspar.store.agreed;

import java.util.List;

/** What may be agreed on, one at a time, in one order for all. */
public sealed interface Command {
  /**
   * Who wants it and which of its wants this is: counted from one, each number for one command. A
   * repeat under the same number gets the answer of the first; a number below the last one is
   * refused, as its answer is not kept any more.
   */
  record Id(String client, long number) {
    public static final Id NONE = new Id("", 0);
  }

  /** What must be so for a write to be done. */
  sealed interface Condition {
    String key();

    /** The key was last written at this revision; 0: it is not there. */
    record At(String key, long revision) implements Condition {}

    /** The key holds this value. */
    record Holds(String key, String value) implements Condition {}
  }

  /** One part of a write. */
  sealed interface Operation {
    String key();

    /** {@code lease} is 0, or the lease with which the key goes. */
    record Put(String key, String value, long lease) implements Operation {}

    record Delete(String key) implements Operation {}
  }

  /**
   * All of its operations or none. {@code lease} and {@code term} are 0, or the lease under which
   * its writer acts: the write is done only while that lease stands with that term, so that who has
   * lost it changes nothing any more.
   */
  record Write(Id id, List<Condition> conditions, List<Operation> operations, long lease, long term)
      implements Command {
    public Write {
      conditions = List.copyOf(conditions);
      operations = List.copyOf(operations);
    }

    public static Write put(Id id, String key, String value) {
      return new Write(id, List.of(), List.of(new Operation.Put(key, value, 0)), 0, 0);
    }

    public static Write delete(Id id, String key) {
      return new Write(id, List.of(), List.of(new Operation.Delete(key)), 0, 0);
    }

    public static Write swap(Id id, String key, long revision, String value) {
      return new Write(
          id,
          List.of(new Condition.At(key, revision)),
          List.of(new Operation.Put(key, value, 0)),
          0,
          0);
    }
  }

  /**
   * A lease by name for one holder. Where it stands with another, that one keeps it; the answer
   * says who holds it, and its term.
   */
  record Acquire(Id id, String name, String holder, double ttl) implements Command {}

  /** Its holder lives: what is to expire by the count before is void. */
  record Renew(Id id, long lease, long term) implements Command {}

  /** Its holder gives it up, and its keys go. */
  record Release(Id id, long lease, long term) implements Command {}

  /** Whoever leads has seen no renewal since this count for as long as the lease lasts. */
  record Expire(long lease, long renewals) implements Command {}

  /** History up to this revision may be forgotten. */
  record Compact(long revision) implements Command {}
}
