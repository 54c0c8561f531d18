package crankspar.net;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tasks ordered by due time, and by order of insertion if equal. Has no clock of its own: times are
 * milliseconds of the loop's clock. O(log n) per task.
 */
final class TaskQueue {
  /** A task and its due time. */
  record Task(double due, Runnable action) {}

  private record Entry(Task task, long order) {}

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.<Entry>comparingDouble(e -> e.task().due()).thenComparingLong(Entry::order));
  private long order;

  void add(Task task) {
    entries.add(new Entry(task, order++));
  }

  /** Removes and returns the first task that is due, or null. */
  Task poll(double now) {
    return nextDue() <= now ? entries.poll().task() : null;
  }

  /** The due time of the first task; infinity if there is none. */
  double nextDue() {
    Entry first = entries.peek();
    return first == null ? Double.POSITIVE_INFINITY : first.task().due();
  }
}
