package crankspar.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Changes of the store that somebody waits for: acknowledged once they are in the file that keeps
 * their keys, the first that was added where several do; at once where none does. On the loop.
 */
public final class Commits {
  private final Store store;
  private final List<LocalStateFile> files = new ArrayList<>();

  public Commits(Store store) {
    this.store = store;
  }

  /** From now on changes of this file's keys are acknowledged once it holds them. */
  public void add(LocalStateFile file) {
    files.add(file);
  }

  /**
   * {@code done} hears once, on the loop, at once or later; the changes are in force when it hears
   * of a commit.
   */
  public void commit(List<Change> changes, Consumer<CommitResult> done) {
    try {
      for (Change change : changes) {
        store.check(change);
      }
    } catch (Store.Refused e) {
      done.accept(new CommitResult.Invalid(e.getMessage()));
      return;
    }
    Optional<LocalStateFile> keeper =
        files.stream().filter(f -> changes.stream().allMatch(c -> f.covers(c.key()))).findFirst();
    if (keeper.isPresent()) {
      keeper.get().propose(changes, done);
    } else {
      done.accept(apply(changes));
    }
  }

  private CommitResult apply(List<Change> changes) {
    try {
      for (Change change : changes) {
        store.put(change.key(), change.value());
      }
      return new CommitResult.Committed();
    } catch (Store.Refused e) {
      return new CommitResult.Invalid(e.getMessage());
    }
  }
}
