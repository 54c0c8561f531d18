package crankspar.net;

import crankspar.core.Ports;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The single thread that owns all state. Each turn has a fixed order: it reads everything the
 * sockets hold, in the order of {@link ReadinessPhase}, then runs timers and work until the next
 * poll is due. Otherwise a late process would act on what it read first as if it had just arrived:
 * after a stall, or behind a long queue, closes, cancels and notifications waiting in the sockets
 * are known before anything is sent.
 *
 * <p>What a socket held when it was polled had arrived since the previous poll ({@link
 * SocketPoller#previousPoll}), so polls must follow each other closely: the work of one turn is
 * bounded, and so is an idle wait.
 */
public final class EventLoop implements Ports.Time, AutoCloseable {
  private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());

  /** After this much work (ms) the sockets are polled again, however much work is queued. */
  static final double TURN_MOST_MS = 5;

  /** Poll interval of an idle loop (ms): the age of a request is known to within this. */
  static final double IDLE_MOST_MS = 10;

  /**
   * Maximum number of posted notifications run per poll, so that notifications that post others do
   * not delay work indefinitely.
   */
  private static final int NEWS_MOST = 64;

  /** Maximum wait for the end of the loop's thread (ms). */
  private static final long END_MOST_MS = 2000;

  /** A caller that waits for work on the loop checks this often whether its thread is alive. */
  private static final long ALIVE_CHECK_MS = 100;

  /** Delay before the next poll after a failed one. */
  private static final long POLL_RETRY_NANOS = 10_000_000;

  private final Thread thread;
  private final long wallAtStart = System.currentTimeMillis();
  private final long nanosAtStart = System.nanoTime();
  private final TaskQueue tasks = new TaskQueue();
  private final Queue<TaskQueue.Task> posted = new ConcurrentLinkedQueue<>();
  private final Queue<Runnable> news = new ConcurrentLinkedQueue<>();
  private final SocketPoller poller = new SocketPoller(this::now, this::runNews);
  private final ReadBuffers readBuffers = new ReadBuffers();
  private final StallDetector stalls = new StallDetector();
  private final LoopLag lag = new LoopLag();
  private final MemoryBudget memory = new MemoryBudget();
  private DoubleConsumer stalled = ms -> {};
  private final CompletableFuture<Error> failure = new CompletableFuture<>();
  private volatile boolean closed;

  /** Starts at once; {@code name} is the name of its thread. */
  public EventLoop(String name) throws IOException {
    thread = new Thread(this::turns, name);
    thread.start();
  }

  /**
   * Unix milliseconds. The wall clock is read only once, so that its adjustments do not affect
   * deadlines or ages.
   */
  @Override
  public double now() {
    return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e6;
  }

  // ---- Work.
  @Override
  public void after(double ms, Runnable action) {
    schedule(ms, action);
  }

  @Override
  public Ports.Timer timer(double ms, Runnable action) {
    return schedule(ms, action);
  }

  private TaskQueue.Task schedule(double ms, Runnable action) {
    var task = new TaskQueue.Task(now() + Math.max(0, ms), action);
    if (here()) {
      tasks.add(task);
    } else {
      posted.add(task);
      poller.wakeUp();
    }
    return task;
  }

  /**
   * A stall that is detected only after the timer was set counts too, which errs on the safe side.
   */
  @Override
  public void afterExcludingStalls(double ms, Runnable action) {
    double before = stalls.stalled();
    after(
        ms,
        () -> {
          double stood = Math.min(ms, stalls.stalled() - before);
          if (stood > 0) {
            afterExcludingStalls(stood, action);
          } else {
            action.run();
          }
        });
  }

  /** Runs the action on the loop behind earlier due tasks; may be called from any thread. */
  public void run(Runnable action) {
    after(0, action);
  }

  /**
   * Runs the action behind the due work of others, see {@link TaskQueue#addBehind}; on the loop.
   */
  public void runBehind(Runnable action) {
    tasks.addBehind(action);
  }

  /** Runs the action before all queued work. For change notifications, never for work. */
  public void runUrgent(Runnable action) {
    news.add(action);
    if (!here()) {
      poller.wakeUp();
    }
  }

  /**
   * Runs the action on the loop and waits for it: for startup, tests and shutdown, never from the
   * loop itself. Exceptions of the action are rethrown here.
   *
   * @throws IllegalStateException if the loop ended before the action ran
   */
  public void runAndWait(Runnable action) throws InterruptedException {
    var task = new FutureTask<Void>(action, null);
    run(task);
    while (true) {
      try {
        task.get(ALIVE_CHECK_MS, TimeUnit.MILLISECONDS);
        return;
      } catch (TimeoutException e) {
        if (!thread.isAlive() && !task.isDone()) {
          throw new IllegalStateException("the loop has ended", e);
        }
      } catch (ExecutionException e) {
        throw rethrown(e.getCause());
      }
    }
  }

  private static RuntimeException rethrown(Throwable thrown) {
    if (thrown instanceof Error error) {
      throw error;
    }
    return (RuntimeException) thrown;
  }

  boolean here() {
    return Thread.currentThread() == thread;
  }

  // ---- The turn.
  private void turns() {
    try {
      while (!closed) {
        turn();
      }
    } catch (Error e) {
      failure.complete(e);
      throw e;
    } finally {
      closeAll();
    }
  }

  /**
   * Waits until an Error, such as out of memory, has ended the loop's thread, and returns it. An
   * end by {@link #close} does not count.
   */
  public Error awaitFailure() throws InterruptedException {
    try {
      return failure.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * One turn. A poll that fails, for lack of memory for instance, is retried; timers and work
   * continue meanwhile.
   */
  private void turn() {
    try {
      awaitWork();
      step();
      poller.poll();
    } catch (IOException | RuntimeException e) {
      LOG.log(Level.SEVERE, "the sockets cannot be polled", e);
      LockSupport.parkNanos(POLL_RETRY_NANOS);
    }
    step();
    runTasks();
  }

  private void awaitWork() throws IOException {
    double wait = Math.min(IDLE_MOST_MS, tasks.nextDue() - now());
    if (wait > 0 && posted.isEmpty() && news.isEmpty()) {
      poller.await(wait);
    }
  }

  private void runNews() {
    for (int i = 0; i < NEWS_MOST; i++) {
      Runnable next = news.poll();
      if (next == null) {
        return;
      }
      guarded(next);
    }
  }

  /** Runs at least one task, and further ones until the next poll is due. */
  private void runTasks() {
    for (TaskQueue.Task task = posted.poll(); task != null; task = posted.poll()) {
      tasks.add(task);
    }
    double began = now();
    for (TaskQueue.Task task = tasks.poll(began); task != null; task = tasks.poll(now())) {
      lag.began(task.due(), now());
      guarded(task.action());
      step();
      if (now() - began > TURN_MOST_MS || !news.isEmpty()) {
        return;
      }
    }
  }

  /** Runs an action; an exception in it must not end the thread's other work. */
  static void guarded(Runnable action) {
    try {
      action.run();
    } catch (CancelledKeyException e) {
      LOG.log(Level.FINE, "a connection was closed under its event", e);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "a task failed", e);
    }
  }

  private void step() {
    double still = stalls.step(now());
    if (still > 0) {
      stalled.accept(still);
      LOG.info("this process stood still for " + Math.round(still) + " ms");
    }
  }

  // ---- Age of input.
  /** The time of the poll before the last one: what the last one found had arrived since then. */
  double previousPoll() {
    return poller.previousPoll();
  }

  /**
   * Called right before a write: reads notifications, clients' closes and new connections if the
   * last poll is not recent, in case the process was stalled in the middle of a task.
   */
  void refresh() {
    if (!here() || now() - poller.lastLook() <= TURN_MOST_MS) {
      return;
    }
    try {
      poller.lookBeforeWrite();
    } catch (IOException e) {
      LOG.log(Level.WARNING, "the sockets cannot be polled", e);
    }
  }

  /**
   * The earliest time at which an event noticed now outside of the sockets, such as a signal, may
   * have happened; may be called from any thread.
   */
  public double earliestOfNow() {
    return stalls.earliest(now());
  }

  /** Sets a listener for stalls of the process, called with the duration (ms). */
  public void onStall(DoubleConsumer listener) {
    run(() -> stalled = listener);
  }

  /** Maximum lateness of a task in the last ten to twenty seconds (ms); call on the loop. */
  public double recentLag() {
    return lag.recent(now());
  }

  /** Maximum lateness of a task since the start (ms); call on the loop. */
  public double mostLag() {
    return lag.most();
  }

  /** What peers make this process hold; on the loop. */
  public MemoryBudget memory() {
    return memory;
  }

  // ---- Sockets.
  ReadBuffers readBuffers() {
    return readBuffers;
  }

  /** Registers a channel; call on the loop. */
  SelectionKey register(SelectableChannel channel, int interest, Pollable pollable)
      throws IOException {
    return poller.register(channel, interest, pollable);
  }

  /**
   * Opens a connection for a handler; a failure is reported as its end. Nothing is reported before
   * this method returns: otherwise a connect that the system refuses at once (no address left, no
   * route) would end inside the call, when the caller has no connection to close yet.
   */
  public SocketConnection connect(InetSocketAddress address, ConnectionHandler handler) {
    var connection = new SocketConnection(this, handler, ReadinessPhase.SERVERS, now());
    if (here()) {
      connection.connect(address);
    } else {
      run(() -> connection.connect(address));
    }
    return connection;
  }

  /**
   * Opens a listening socket; each connection gets its own handler, or is closed if there is none.
   */
  public Listener listen(InetSocketAddress address, Supplier<ConnectionHandler> handlers)
      throws IOException {
    return listen(address, handlers, ReadinessPhase.ACCEPTS);
  }

  /**
   * Like {@link #listen(InetSocketAddress, Supplier)}, for connections that carry change
   * notifications.
   */
  public Listener listenUrgent(InetSocketAddress address, Supplier<ConnectionHandler> handlers)
      throws IOException {
    return listen(address, handlers, ReadinessPhase.NEWS);
  }

  private Listener listen(
      InetSocketAddress address, Supplier<ConnectionHandler> handlers, ReadinessPhase phase)
      throws IOException {
    var listener = new Listener(this, address, handlers, phase);
    run(listener::begin);
    return listener;
  }

  // ---- Shutdown.
  @Override
  public void close() {
    closed = true;
    poller.wakeUp();
    if (here()) {
      return;
    }
    try {
      thread.join(END_MOST_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void closeAll() {
    closed = true;
    poller.close();
  }
}
