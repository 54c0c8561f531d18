package crankspar.net;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.core.Counters;
import crankspar.net.ScriptedPeer.Wire;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Who makes room at the bound of connections. */
class RoomTest {
  private static final int MOST = 3;
  private static final int PART = 1 << 20;

  /** More than the system takes for a client that reads nothing. */
  private static final int PARTS = 24;

  private static final int ANSWER = PARTS * PART;

  private final Counters counters = new Counters();

  /** Answers its first byte with very many, and rests. */
  private static final class Answering implements ClientConnectionHandler {
    private Connection out;
    private boolean asked, over;
    private Clients<Answering> clients;

    @Override
    public void opened(Connection out) {
      this.out = out;
    }

    @Override
    public void received(ByteBuffer in) {
      in.position(in.limit());
      if (!asked) {
        asked = true;
        part(PARTS);
      }
    }

    /**
     * Each as soon as the one before has left: no more waits here than a client may leave unread.
     */
    private void part(int left) {
      if (left > 0) {
        out.write(new byte[PART], PART, () -> part(left - 1));
      }
    }

    @Override
    public void ended(String why) {
      over = true;
    }

    @Override
    public void closed() {
      clients.closed(this);
    }

    @Override
    public Standing standing() {
      return over ? Standing.LEAVING : asked ? Standing.IDLE : Standing.STARTED;
    }

    @Override
    public boolean begun() {
      return false;
    }

    @Override
    public long progress() {
      return asked ? 1 : 0;
    }

    @Override
    public boolean unsent() {
      return out != null && out.unsent();
    }

    @Override
    public void readNow() {
      out.readNow();
    }

    @Override
    public void turnAway(String why) {
      drop();
    }

    @Override
    public void closeIfIdle() {
      over = true;
      out.finish(); // drops what it has not been given yet
    }

    @Override
    public void drop() {
      over = true;
      out.close();
    }
  }

  /** It looked idle, as its answer had been written; the rest of it went with the connection. */
  @Test
  void anAnswerThatItsClientIsSlowToTakeDoesNotGoWithTheRoomItMakes() throws Exception {
    try (var loop = new EventLoop("room")) {
      var made = new Clients[1];
      @SuppressWarnings("unchecked")
      var clients =
          (Clients<Answering>)
              (made[0] =
                  new Clients<Answering>(
                      loop,
                      counters,
                      MOST,
                      () -> {
                        var one = new Answering();
                        one.clients = made[0];
                        return one;
                      }));
      loop.runAndWait(clients::stopping); // nothing is trimmed before the bound
      InetSocketAddress address =
          clients.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      List<Wire> wires = new ArrayList<>();
      try (var slow = new Socket()) {
        slow.setReceiveBufferSize(4096);
        slow.connect(address);
        slow.getOutputStream().write(1);
        slow.getInputStream().read(); // its answer is on its way
        for (int i = 0; i < MOST; i++) {
          wires.add(Wire.to(address));
          wires.get(i).send(new byte[] {1});
          wires
              .get(i)
              .read(ANSWER); // each is idle after it, and the slow one has been idle for longest
        }
        var turned = new CountDownLatch(1);
        loop.run(turned::countDown);
        assertThat(turned.await(5, TimeUnit.SECONDS)).isTrue();
        int left = 1;
        try {
          left += slow.getInputStream().readNBytes(ANSWER - 1).length;
        } catch (IOException e) {
          // what came before the reset
        }
        assertThat(left).as("bytes of the answer").isEqualTo(ANSWER);
      } finally {
        for (Wire w : wires) {
          w.close();
        }
      }
    }
  }
}
