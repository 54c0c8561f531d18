package crankspar.net;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * One thread for work, timers and news, news first: what has come for it runs before the next task
 * of any kind, however many wait. Guards against a busy loop: with a queue of 0.3 s a drain that
 * discovery had written was heard only after everything that stood before it, and requests went to
 * the draining database past the grace that the rules give.
 */
final class NewsFirstExecutor extends ScheduledThreadPoolExecutor {
  /**
   * News that runs before one task at most: news that brings news must not keep work waiting for
   * ever.
   */
  private static final int AT_ONCE = 64;

  /** Hears of each task on its thread, before any news runs and after the task. */
  interface Observer {
    /** A task begins that was due so long ago (ms). */
    void starting(double late);

    void finished();
  }

  private final Queue<Runnable> news = new ConcurrentLinkedQueue<>();
  private final Observer observer;

  NewsFirstExecutor(ThreadFactory threads, Observer observer) {
    super(1, threads);
    this.observer = observer;
    setRemoveOnCancelPolicy(true);
    setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Runs before whatever waits; from any thread. */
  void executeNews(Runnable task) {
    news.add(task);
    execute(() -> {}); // wakes an idle thread; the news runs before it
  }

  @Override
  protected void beforeExecute(Thread thread, Runnable task) {
    super.beforeExecute(thread, task);
    if (task instanceof Delayed timed) {
      observer.starting(-timed.getDelay(TimeUnit.NANOSECONDS) / 1e6);
    }
    for (int i = 0; i < AT_ONCE; i++) {
      Runnable next = news.poll();
      if (next == null) {
        return;
      }
      next.run();
    }
  }

  @Override
  protected void afterExecute(Runnable task, Throwable failure) {
    super.afterExecute(task, failure);
    observer.finished();
  }

  /**
   * The same thread, for a channel group whose completions are news. Its life is this executor's.
   */
  ExecutorService forNews() {
    return new AbstractExecutorService() {
      @Override
      public void execute(Runnable task) {
        executeNews(task);
      }

      @Override
      public void shutdown() {}

      @Override
      public List<Runnable> shutdownNow() {
        return List.of();
      }

      @Override
      public boolean isShutdown() {
        return NewsFirstExecutor.this.isShutdown();
      }

      @Override
      public boolean isTerminated() {
        return NewsFirstExecutor.this.isTerminated();
      }

      @Override
      public boolean awaitTermination(long timeout, TimeUnit unit) throws InterruptedException {
        return NewsFirstExecutor.this.awaitTermination(timeout, unit);
      }
    };
  }
}
