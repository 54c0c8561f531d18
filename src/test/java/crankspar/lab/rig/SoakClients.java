package crankspar.lab.rig;

import crankspar.net.ScriptedPeer.Wire;
import crankspar.pg.Pg;
import crankspar.pg.PgMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients of one pooler that keep their connections and send on them until these end, whatever ends
 * them; a connection that ended is opened again. A crowd beside them connects, asks once and rests.
 */
final class SoakClients implements AutoCloseable {
  /** A request whose connection ended without an answer; times are Unix ms of this process. */
  record Unanswered(String id, double sent, double ended) {}

  private static final int BOARD_MS = 600;
  private static final int CLAIM_MS = 3000;
  private static final int REST_MOST_MS = 40;
  private static final int AGAIN_MS = 20;

  private final String name;
  private final InetSocketAddress pooler;
  private final Random random;
  private final AtomicLong numbers = new AtomicLong();
  private final AtomicLong answered = new AtomicLong();
  private final ConcurrentLinkedQueue<Unanswered> unanswered = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean over;

  SoakClients(Rig rig, int pooler, int clients, int crowd, long seed) {
    name = "p" + pooler;
    this.pooler = rig.fromClients(pooler).address();
    random = new Random(seed);
    for (int i = 0; i < clients + crowd; i++) {
      boolean rests = i >= clients;
      var thread = new Thread(() -> live(rests), "soak-" + name + "-" + i);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private static double now() {
    return System.currentTimeMillis();
  }

  private void live(boolean rests) {
    while (!over) {
      String id = null;
      double sent = now();
      try (Wire wire = Wire.to(pooler)) {
        Pg pg = Pg.welcomed(wire);
        while (!over) {
          boolean claim = random.nextInt(10) == 0;
          String next = name + "." + numbers.incrementAndGet();
          sent = now();
          id = next;
          pg.send(
              new PgMessage.Query(
                  "/* id="
                      + next
                      + (claim
                          ? ",c=claim,d="
                              + CLAIM_MS
                              + ",cluster=0 */ INSERT INTO t VALUES (1) RETURNING applied_ms()"
                          : ",c=board,d=" + BOARD_MS + ",cluster=0 */ SELECT applied_ms()")));
          pg.answer();
          id = null;
          answered.incrementAndGet();
          if (rests) {
            wire.ends();
          }
          TimeUnit.MILLISECONDS.sleep(random.nextInt(REST_MOST_MS));
        }
      } catch (IOException e) {
        if (id != null && !over) {
          unanswered.add(new Unanswered(id, sent, now()));
        }
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  List<Unanswered> unanswered() {
    return List.copyOf(unanswered);
  }

  long answered() {
    return answered.get();
  }

  /** How many ids were given out: a statement with another one came from no client. */
  long sent() {
    return numbers.get();
  }

  @Override
  public void close() {
    over = true;
    threads.forEach(Thread::interrupt);
  }
}
