package crankspar.pooling;

import java.util.ArrayDeque;
import java.util.function.BinaryOperator;

/**
 * A value that follows the transaction: a rollback, also one to a savepoint, restores the earlier
 * value. The value itself is immutable, so that a savepoint costs one reference.
 *
 * @param <T> an immutable type
 */
final class TransactionalValue<T> {
  private record Savepoint<T>(String name, T value) {}

  /**
   * Maximum number of tracked savepoints; rolling back to a later one restores the last tracked
   * one.
   */
  private static final int MAX_SAVEPOINTS = 256;

  private final BinaryOperator<T> onRollback;
  private ArrayDeque<Savepoint<T>> savepoints;
  private T committed, current;
  private boolean failed;

  /**
   * Creates a value.
   *
   * @param onRollback computes the value after a rollback from the value before and the one rolled
   *     back, as some changes survive a rollback
   */
  TransactionalValue(T value, BinaryOperator<T> onRollback) {
    committed = current = value;
    this.onRollback = onRollback;
  }

  TransactionalValue(T value) {
    this(value, (before, after) -> before);
  }

  /** Returns an independent copy. */
  TransactionalValue<T> copy() {
    var copy = new TransactionalValue<>(committed, onRollback);
    copy.current = current;
    copy.savepoints = savepoints == null ? null : savepoints.clone();
    copy.failed = failed;
    return copy;
  }

  T current() {
    return current;
  }

  void set(T value) {
    current = value;
  }

  /** Replaces the value regardless of any transaction: at startup and after DISCARD ALL. */
  void replace(T value) {
    committed = current = value;
    savepoints = null;
  }

  void commit() {
    committed = current;
    savepoints = null;
    failed = false;
  }

  void rollback() {
    committed = current = onRollback.apply(committed, current);
    savepoints = null;
    failed = false;
  }

  void savepoint(String name) {
    if (savepoints == null) {
      savepoints = new ArrayDeque<>(2);
    }
    if (savepoints.size() < MAX_SAVEPOINTS) {
      savepoints.push(new Savepoint<>(name, current));
    }
  }

  /** Removes a savepoint and all later ones; the changes made since are kept. */
  void release(String name) {
    if (hasSavepoint(name)) {
      while (!savepoints.pop().name().equals(name)) {
        // later savepoints are removed too
      }
    }
  }

  /** Rolls back to a savepoint, which remains and can be rolled back to again. */
  void rollbackTo(String name) {
    if (hasSavepoint(name)) {
      while (!savepoints.peek().name().equals(name)) {
        savepoints.pop();
      }
      current = onRollback.apply(savepoints.peek().value(), current);
    }
  }

  private boolean hasSavepoint(String name) {
    return savepoints != null && savepoints.stream().anyMatch(s -> s.name().equals(name));
  }

  /**
   * Records a failed statement: outside a block its implicit transaction is rolled back at the next
   * ReadyForQuery.
   */
  void statementFailed() {
    failed = true;
  }

  /** Handles ReadyForQuery: outside a block the implicit transaction has ended. */
  void ready(char status) {
    if (status == 'I') {
      if (failed) {
        rollback();
      } else {
        commit();
      }
    }
    failed = false;
  }
}
