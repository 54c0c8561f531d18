package crankspar.lab.hostile;

import crankspar.pg.PgEncoder;
import crankspar.pg.PgMessage;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that behave: so many requests a second, each on a fresh connection that reads its answer.
 */
final class SteadyClients implements AutoCloseable {
  /** How a request ended. */
  enum Outcome {
    SERVED,
    REFUSED,
    /** Its answer came {@link #LATE_MS} after its time or later. */
    LATE,
    /** No whole answer by {@link #LOST_MS} after its time, or its connection ended before. */
    LOST,
    /** Two connections were shut or refused before anything came on them. */
    SHUT
  }

  /** What became of the requests, and how late this process itself was at the most (ms). */
  record Tally(int served, int refused, int late, int lost, int shut, long lag) {
    int all() {
      return served + refused + late + lost + shut;
    }
  }

  private static final int PER_SECOND = 40;
  private static final int WAITS_MS = 300;
  private static final int LATE_MS = 150;

  /** The pages' slack for a final answer. */
  private static final int LOST_MS = 500;

  private final HostileKind.Front front;
  private final InetSocketAddress address;
  private final ExecutorService requests = Executors.newCachedThreadPool();
  private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final AtomicLong lag = new AtomicLong();
  private final Thread pacer = new Thread(this::pace, "steady-clients");
  private volatile boolean over;

  SteadyClients(HostileKind.Front front, InetSocketAddress address) {
    this.front = front;
    this.address = address;
    pacer.start();
  }

  private void pace() {
    long due = System.nanoTime();
    for (int i = 0; !over; i++) {
      String id = "s" + Long.toHexString(System.nanoTime()) + i;
      requests.execute(() -> outcomes.add(ask(id)));
      due += TimeUnit.SECONDS.toNanos(1) / PER_SECOND;
      long wait = due - System.nanoTime();
      lag.accumulateAndGet(-wait / 1_000_000, Math::max);
      try {
        TimeUnit.NANOSECONDS.sleep(wait);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** A request whose connection is shut unread is sent once more, as the protocol has it. */
  private Outcome ask(String id) {
    long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAITS_MS);
    Outcome first = ask(id, due);
    return first == Outcome.SHUT ? ask(id, due) : first;
  }

  private Outcome ask(String id, long due) {
    long end = due + TimeUnit.MILLISECONDS.toNanos(LOST_MS);
    var begun = new boolean[1];
    try (var socket = new Socket()) {
      socket.connect(address, WAITS_MS + LOST_MS);
      socket.setTcpNoDelay(true);
      socket.getOutputStream().write(request(id));
      socket.setSoTimeout(left(end));
      var in = new PushbackInputStream(socket.getInputStream());
      int first = in.read();
      if (first < 0) {
        return Outcome.SHUT;
      }
      begun[0] = true;
      in.unread(first);
      var data = new DataInputStream(in);
      boolean served =
          front == HostileKind.Front.REST ? restAnswer(data) : pgAnswer(socket, data, end);
      return System.nanoTime() > due + TimeUnit.MILLISECONDS.toNanos(LATE_MS)
          ? Outcome.LATE
          : served ? Outcome.SERVED : Outcome.REFUSED;
    } catch (SocketTimeoutException e) {
      return Outcome.LOST;
    } catch (IOException e) {
      return begun[0] ? Outcome.LOST : Outcome.SHUT;
    }
  }

  private static int left(long end) throws SocketTimeoutException {
    long ms = (end - System.nanoTime()) / 1_000_000;
    if (ms <= 0) {
      throw new SocketTimeoutException("late");
    }
    return (int) ms;
  }

  private byte[] request(String id) {
    return switch (front) {
      case REST ->
          ("GET /v1/groups/2/check HTTP/1.1\r\nHost: x\r\nRequest-Deadline-Ms: "
                  + WAITS_MS
                  + "\r\nConnection: close\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII);
      case PLATFORM ->
          new PgEncoder()
              .add(new PgMessage.Startup(Map.of("user", "client", "database", "core")))
              .add(new PgMessage.Query(HostileKind.read(id, WAITS_MS)))
              .bytes();
      case POOLING ->
          new PgEncoder()
              .add(new PgMessage.Startup(Map.of("user", "app", "database", "league")))
              .add(new PgMessage.Query("/* d=" + WAITS_MS + " */ SELECT 1"))
              .bytes();
    };
  }

  /**
   * The welcome, then an answer up to ReadyForQuery, or an error that ends the connection; whether
   * it holds a row.
   */
  private static boolean pgAnswer(Socket socket, DataInputStream in, long end) throws IOException {
    boolean row = false;
    for (int ready = 0; ready < 2; ) {
      socket.setSoTimeout(left(end));
      int type = in.readUnsignedByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      row |= type == 'D';
      ready += type == 'Z' ? 1 : 0;
      if (type == 'E' && new String(body, StandardCharsets.UTF_8).contains("FATAL")) {
        return false;
      }
    }
    return row;
  }

  private static boolean restAnswer(DataInputStream in) throws IOException {
    String answer = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    if (!answer.startsWith("HTTP/1.1 ")) {
      throw new IOException("no answer");
    }
    return answer.startsWith("HTTP/1.1 200");
  }

  /** Ends them and waits for the last answer. */
  Tally end() throws InterruptedException {
    over = true;
    pacer.join();
    requests.shutdown();
    requests.awaitTermination(2L * (WAITS_MS + LOST_MS), TimeUnit.MILLISECONDS);
    return new Tally(
        count(Outcome.SERVED),
        count(Outcome.REFUSED),
        count(Outcome.LATE),
        count(Outcome.LOST),
        count(Outcome.SHUT),
        lag.get());
  }

  private int count(Outcome outcome) {
    return (int) outcomes.stream().filter(o -> o == outcome).count();
  }

  @Override
  public void close() {
    over = true;
    requests.shutdownNow();
  }
}
