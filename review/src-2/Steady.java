import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A usual client: it asks, waits for the whole answer and asks again, and connects anew when its
 * connection has ended. It counts what was answered, and what got no answer in time.
 */
final class Steady implements AutoCloseable {
  /** Writes the text of the request with this number. */
  interface Texts {
    String text(int number);
  }

  private static final int PAUSE_MS = 50;

  final AtomicInteger asked = new AtomicInteger();
  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger errors = new AtomicInteger();
  final AtomicInteger unanswered = new AtomicInteger();
  private final Rig rig;
  private final int port;
  private final int answerMostMs;
  private final Map<String, String> parameters;
  private final Texts texts;
  private final Thread thread = new Thread(this::run, "steady");
  private volatile boolean over;

  /** A request without an answer after {@code answerMostMs} counts as unanswered. */
  Steady(Rig rig, int port, int answerMostMs, Map<String, String> parameters, Texts texts) {
    this.rig = rig;
    this.port = port;
    this.answerMostMs = answerMostMs;
    this.parameters = parameters;
    this.texts = texts;
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    Wire.Client client = null;
    int number = 0;
    while (!over) {
      try {
        if (client == null) {
          client = new Wire.Client(port, answerMostMs, parameters);
        }
        String text = texts.text(number++);
        asked.incrementAndGet();
        Wire.Answer answer = client.ask(text);
        if (answer.code() != null) {
          errors.incrementAndGet();
          rig.note("usual client: " + answer.brief());
        } else if (answer.ended()) {
          client = null;
          unanswered.incrementAndGet();
          rig.note("usual client: request " + number + " lost its connection with no answer");
        } else {
          served.incrementAndGet();
        }
        Thread.sleep(PAUSE_MS);
      } catch (IOException e) {
        rig.note("usual client: " + (client == null ? "no connection: " : "no answer: ") + e);
        if (client != null) {
          unanswered.incrementAndGet();
        }
        client = null;
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(500);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  String counts() {
    return "usual client: asked %d, served %d, errors %d, unanswered %d"
        .formatted(asked.get(), served.get(), errors.get(), unanswered.get());
  }

  @Override
  public void close() {
    over = true;
    thread.interrupt();
  }
}
