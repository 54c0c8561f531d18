package crankspar.net;

import crankspar.core.Ports;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
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
 * The one thread that owns all state. Its turn has a fixed order: it takes in all that the sockets
 * hold, by {@link ReadinessPhase}, then runs timers and work until the next poll is due. Guards
 * against a late process that acts on what it read first as if it came now: after a stop, or behind
 * a long queue, ends, cancels and news that wait in the sockets are known before anything is sent.
 *
 * <p>What a socket held when it was polled had come since the poll before ({@link
 * SocketPoller#previousPoll}), so that polls follow each other closely: a turn's work is bounded,
 * and so is an idle wait.
 */
public final class EventLoop implements Ports.Time, AutoCloseable {
  private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());

  /** After so much work (ms) the sockets are polled again, however much work waits. */
  static final double TURN_MOST_MS = 5;

  /** An idle loop polls this often (ms): the age of a request is known to within this. */
  static final double IDLE_MOST_MS = 10;

  /** Posted news that one poll runs at most: news that brings news must not keep work waiting. */
  private static final int NEWS_MOST = 64;

  /** The end of the loop's thread is waited for this long (ms). */
  private static final long END_MOST_MS = 2000;

  /** Whoever waits for work on the loop looks this often whether its thread is alive. */
  private static final long ALIVE_CHECK_MS = 100;

  /** After a poll that failed the next one is tried so much later. */
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
  private DoubleConsumer stalled = ms -> {};
  private final CompletableFuture<Error> failure = new CompletableFuture<>();
  private volatile boolean closed;

  /** Starts at once; {@code name} is its thread's. */
  public EventLoop(String name) throws IOException {
    thread = new Thread(this::turns, name);
    thread.start();
  }

  /**
   * Unix milliseconds: the wall clock is read once, so that no step of it reaches a deadline or an
   * age.
   */
  @Override
  public double now() {
    return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e6;
  }

  // ---- Work.
  @Override
  public void after(double ms, Runnable action) {
    var task = new TaskQueue.Task(now() + Math.max(0, ms), action);
    if (here()) {
      tasks.add(task);
    } else {
      posted.add(task);
      poller.wakeUp();
    }
  }

  /** A stall that is noticed only after the time was set counts too: it is on the safe side. */
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

  /** Runs on the loop behind what is due before; from any thread. */
  public void run(Runnable action) {
    after(0, action);
  }

  /** Runs before all work that waits: for news of what has changed, never for work. */
  public void runUrgent(Runnable action) {
    news.add(action);
    if (!here()) {
      poller.wakeUp();
    }
  }

  /**
   * Runs on the loop and waits: for starting, tests and the end, never from the loop itself. What
   * the action throws is thrown here.
   *
   * @throws IllegalStateException if the loop has ended before it ran
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
   * Waits until an Error, out of memory say, has ended the loop's thread; returns it. An end by
   * {@link #close} is none.
   */
  public Error awaitFailure() throws InterruptedException {
    try {
      return failure.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A poll that fails, for want of memory say, is tried again; timers and work go on meanwhile. */
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

  /** One task at least, further ones until the next poll is due. */
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

  /** An exception in a task must not end what else the thread has to do. */
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

  // ---- For what must not act on the past.
  /** The time of the poll before the last one: what the last one found had come since then. */
  double previousPoll() {
    return poller.previousPoll();
  }

  /**
   * Right before a write: takes in news, clients' ends and new connections if the last look at the
   * sockets is not recent. Guards against a stop in the midst of a task.
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
   * The earliest time at which something that is noticed now outside of the sockets, such as a
   * signal, may have happened; from any thread.
   */
  public double earliestOfNow() {
    return stalls.earliest(now());
  }

  /** Hears of each time that the process stood still, with how long (ms). */
  public void onStall(DoubleConsumer listener) {
    run(() -> stalled = listener);
  }

  /** How late the loop ran a task at most in the last ten to twenty seconds (ms); on the loop. */
  public double recentLag() {
    return lag.recent(now());
  }

  /** How late the loop ran a task at most since its start (ms); on the loop. */
  public double mostLag() {
    return lag.most();
  }

  // ---- Sockets.
  ReadBuffers readBuffers() {
    return readBuffers;
  }

  /** On the loop. */
  SelectionKey register(SelectableChannel channel, int interest, Pollable pollable)
      throws IOException {
    return poller.register(channel, interest, pollable);
  }

  /**
   * Opens a connection for a handler; a failure is told as its end. Nothing is told before this has
   * returned: a connect that the system refuses at once (no address left, no route) ends inside the
   * call, and whoever called had no connection yet to close.
   */
  public SocketConnection connect(InetSocketAddress address, ConnectionHandler handler) {
    var connection = new SocketConnection(this, handler, ReadinessPhase.SERVERS, now());
    if (here()) {
      connect(address, connection);
    } else {
      run(() -> connect(address, connection));
    }
    return connection;
  }

  private void connect(InetSocketAddress address, SocketConnection connection) {
    SocketChannel channel = null;
    try {
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      boolean connected = channel.connect(address);
      connection.connecting(channel, connected);
    } catch (IOException | RuntimeException e) {
      closeQuietly(channel);
      run(() -> connection.end("connect: " + e.getMessage()));
    }
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      if (closeable != null) {
        closeable.close();
      }
    } catch (Exception e) {
      LOG.fine("close: " + e);
    }
  }

  /** A listening socket; each connection gets a handler of its own, or is closed without one. */
  public Listener listen(InetSocketAddress address, Supplier<ConnectionHandler> handlers)
      throws IOException {
    return listen(address, handlers, ReadinessPhase.ACCEPTS);
  }

  /** As {@link #listen(InetSocketAddress, Supplier)}, for connections that bring news. */
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

  // ---- The end.
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
