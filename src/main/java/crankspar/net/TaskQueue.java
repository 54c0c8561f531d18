package crankspar.net;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * What is to run and when, earliest due first and in the order of arrival among equals. It knows no
 * clock: times are milliseconds on the loop's. Costs O(log n) a task.
 */
final class TaskQueue {
  /** A task and when it is due. */
  record Task(double due, Runnable action) {}

  private record Entry(Task task, long order) {}

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.<Entry>comparingDouble(e -> e.task().due()).thenComparingLong(Entry::order));
  private long order;

  void add(Task task) {
    entries.add(new Entry(task, order++));
  }

  /** The first task that is due, or null. */
  Task poll(double now) {
    return nextDue() <= now ? entries.poll().task() : null;
  }

  /** When the first task is due; infinite where there is none. */
  double nextDue() {
    Entry first = entries.peek();
    return first == null ? Double.POSITIVE_INFINITY : first.task().due();
  }
}
