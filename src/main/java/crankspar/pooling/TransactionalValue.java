package crankspar.pooling;

import java.util.ArrayDeque;
import java.util.function.BinaryOperator;

/**
 * A value that follows a transaction: what was changed in one that is rolled back is as before,
 * savepoints included. The value itself is immutable, so that a savepoint costs a reference.
 *
 * @param <T> an immutable value
 */
final class TransactionalValue<T> {
  private record Savepoint<T>(String name, T value) {}

  /**
   * Savepoints beyond this are not told apart: rolling back to one of them goes back to the last
   * that is.
   */
  private static final int MAX_SAVEPOINTS = 256;

  private final BinaryOperator<T> onRollback;
  private ArrayDeque<Savepoint<T>> savepoints;
  private T committed, current;
  private boolean failed;

  /**
   * {@code undone} tells what remains, given the value before and the one given up: some things
   * outlive a rollback.
   */
  TransactionalValue(T value, BinaryOperator<T> onRollback) {
    committed = current = value;
    this.onRollback = onRollback;
  }

  TransactionalValue(T value) {
    this(value, (before, after) -> before);
  }

  /** One that goes on from here by itself. */
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

  /** A whole new value, whatever the transaction does: after DISCARD ALL, or at a start. */
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

  /** A released savepoint goes with all that came after it; what they changed stays. */
  void release(String name) {
    if (hasSavepoint(name)) {
      while (!savepoints.pop().name().equals(name)) {
        // later ones go too
      }
    }
  }

  /** The savepoint itself stays, to be rolled back to again. */
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
   * A statement failed: outside a block, what its implicit transaction did is undone at the next
   * ready.
   */
  void statementFailed() {
    failed = true;
  }

  /** The server is ready: outside a block the implicit transaction has ended. */
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
