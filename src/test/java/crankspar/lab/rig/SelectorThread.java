package crankspar.lab.rig;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * One thread of a test that serves many connections. It polls at least once a millisecond, so that
 * a tester that is late itself knows how early something may have happened.
 */
abstract class SelectorThread implements AutoCloseable {
  private static final int POLL_MS = 1;

  final Selector selector = Selector.open();
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

  /** What is ready now was not when this poll began (ms): nothing of it happened before. */
  double earliest = AttemptHistory.now();

  SelectorThread() throws IOException {}

  final void begin(String name) {
    var thread = new Thread(this::poll, name);
    thread.setDaemon(true);
    thread.start();
  }

  final void run(Runnable task) {
    tasks.add(task);
  }

  /** A channel is ready; an exception closes it. */
  abstract void ready(SelectionKey key) throws IOException;

  /** Once per poll, behind what was ready. */
  void tick() {}

  private void poll() {
    try {
      double began = AttemptHistory.now();
      while (selector.isOpen()) {
        earliest = began;
        began = AttemptHistory.now();
        selector.select(this::guarded, POLL_MS);
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
          task.run();
        }
        tick();
      }
    } catch (IOException | ClosedSelectorException e) {
      // the test is over
    }
  }

  private void guarded(SelectionKey key) {
    try {
      ready(key);
    } catch (IOException | CancelledKeyException e) {
      close(key);
    }
  }

  static void close(SelectionKey key) {
    try {
      key.channel().close();
    } catch (IOException e) {
      // as closed as it can be
    }
  }

  @Override
  public void close() {
    selector.keys().forEach(SelectorThread::close);
    try {
      selector.close();
    } catch (IOException e) {
      // as closed as it can be
    }
  }
}
