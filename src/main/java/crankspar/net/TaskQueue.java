package crankspar.net;

import crankspar.core.Ports;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tasks ordered by due time, and by order of insertion if equal. Has no clock of its own: times are
 * milliseconds of the loop's clock. O(log n) per task; a cancelled task holds its action no longer,
 * and cancelled tasks are removed together once they are the larger part, which is O(1) for each.
 */
final class TaskQueue {
  /** Due tasks that run before one that was added behind them. */
  static final int PASSED_MOST = 16;

  /** So few cancelled tasks are left where they are. */
  static final int CANCELLED_LEAST = 64;

  /** A task and its due time. */
  static final class Task implements Ports.Timer {
    private final double due;
    private Runnable action;
    private long order;

    /** Where it waits; null before that and after it. */
    private TaskQueue queue;

    Task(double due, Runnable action) {
      this.due = due;
      this.action = action;
    }

    double due() {
      return due;
    }

    Runnable action() {
      return action;
    }

    @Override
    public void cancel() {
      if (queue != null && action != null) {
        action = null;
        queue.cancelled();
      }
    }
  }

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.<Task>comparingDouble(t -> t.due).thenComparing(t -> t.order));
  private final ArrayDeque<Runnable> behind = new ArrayDeque<>();
  private long order;
  private int cancelled;

  /** Due tasks that went before the first of those behind. */
  private int passed;

  void add(Task task) {
    task.order = order++;
    task.queue = this;
    tasks.add(task);
  }

  /**
   * Adds work that runs once no task is due, and after {@link #PASSED_MOST} of these in any case:
   * for the further messages of a connection that has sent many.
   */
  void addBehind(Runnable action) {
    behind.add(action);
  }

  private void cancelled() {
    cancelled++;
    if (cancelled > CANCELLED_LEAST && cancelled > tasks.size() / 2) {
      tasks.removeIf(task -> task.action == null);
      cancelled = 0;
    }
  }

  /** Removes and returns the first task that is due, else the first work behind, or null. */
  Task poll(double now) {
    boolean due = firstDue() <= now;
    if (!behind.isEmpty() && (!due || passed >= PASSED_MOST)) {
      passed = 0;
      return new Task(now, behind.poll());
    }
    if (!due) {
      return null;
    }
    passed += behind.isEmpty() ? 0 : 1;
    Task task = tasks.poll();
    task.queue = null;
    return task;
  }

  /** When {@link #poll} next returns a task; infinity if there is none. */
  double nextDue() {
    return behind.isEmpty() ? firstDue() : Double.NEGATIVE_INFINITY;
  }

  private double firstDue() {
    while (!tasks.isEmpty() && tasks.peek().action == null) {
      tasks.poll();
      cancelled--;
    }
    return tasks.isEmpty() ? Double.POSITIVE_INFINITY : tasks.peek().due;
  }

  /** The number of tasks that wait, with those that were cancelled and not removed yet. */
  int size() {
    return tasks.size();
  }
}
