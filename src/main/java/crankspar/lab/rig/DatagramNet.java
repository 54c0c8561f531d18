package crankspar.lab.rig;

import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.SplittableRandom;

/**
 * Datagrams between poolers, each pair and direction with faults of its own. A pooler knows every
 * other by an address that is the net's: what it sends there comes to the other from the address by
 * which that one knows the sender.
 */
public final class DatagramNet implements AutoCloseable {
  /**
   * What happens to datagrams one way; delays (ms) are drawn evenly, so that they overtake each
   * other.
   *
   * @param lost share of them; {@code doubled} is the share that comes twice
   */
  public record Travel(double lost, double doubled, double delayLeast, double delayMost) {
    /** What the brief says of messages between poolers, but for their loss. */
    public static final Travel USUAL = new Travel(0, 0, 1.4, 29);

    public static final Travel CUT = new Travel(1, 0, 0, 0);
  }

  private static final int LARGEST = 2048;

  /** Where {@code of} sends to reach {@code other}. */
  private record End(int of, int other) {}

  private final EventLoop loop;
  private final Selector selector = Selector.open();
  private final DatagramChannel[][] ends;
  private final InetSocketAddress[] poolers;
  private final Travel[][] travel;
  private final SplittableRandom random;

  /**
   * {@code poolers} are their own addresses ({@code peer_listen}); all faults are drawn from the
   * seed, on the loop.
   */
  public DatagramNet(EventLoop loop, long seed, InetSocketAddress... poolers) throws IOException {
    this.loop = loop;
    this.poolers = poolers.clone();
    random = new SplittableRandom(seed);
    ends = new DatagramChannel[poolers.length][poolers.length];
    travel = new Travel[poolers.length][poolers.length];
    for (int i = 0; i < poolers.length; i++) {
      for (int j = 0; j < poolers.length; j++) {
        travel[i][j] = Travel.USUAL;
        if (i != j) {
          ends[i][j] =
              DatagramChannel.open()
                  .bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
          ends[i][j]
              .configureBlocking(false)
              .register(selector, SelectionKey.OP_READ, new End(i, j));
        }
      }
    }
    var thread = new Thread(this::read, "datagrams");
    thread.setDaemon(true);
    thread.start();
  }

  /** Where pooler {@code of} finds {@code other}; its own address for itself. */
  public InetSocketAddress address(int of, int other) throws IOException {
    return of == other ? poolers[of] : (InetSocketAddress) ends[of][other].getLocalAddress();
  }

  public void travel(int from, int to, Travel how) {
    loop.run(() -> travel[from][to] = how);
  }

  /** All pairs, both ways. */
  public void travel(Travel how) {
    for (int i = 0; i < poolers.length; i++) {
      for (int j = 0; j < poolers.length; j++) {
        travel(i, j, how);
      }
    }
  }

  /** Nothing from this pooler arrives, and nothing at it. */
  public void cutOff(int pooler) {
    for (int other = 0; other < poolers.length; other++) {
      travel(pooler, other, Travel.CUT);
      travel(other, pooler, Travel.CUT);
    }
  }

  /** A datagram that seems to come from one pooler, which has not sent it. */
  public void forge(int from, int to, byte[] bytes) {
    loop.run(() -> pass(new End(from, to), bytes));
  }

  private void read() {
    var buffer = ByteBuffer.allocate(LARGEST);
    try {
      while (selector.isOpen()) {
        selector.select(
            key -> {
              try {
                buffer.clear();
                ((DatagramChannel) key.channel()).receive(buffer);
                byte[] bytes = new byte[buffer.flip().remaining()];
                buffer.get(bytes);
                loop.run(() -> pass((End) key.attachment(), bytes));
              } catch (IOException e) {
                // closed under it
              }
            });
      }
    } catch (IOException | ClosedSelectorException e) {
      // closed: nothing more is passed on
    }
  }

  private void pass(End at, byte[] bytes) {
    Travel how = travel[at.of()][at.other()];
    int copies = random.nextDouble() < how.lost() ? 0 : random.nextDouble() < how.doubled() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      loop.after(
          how.delayLeast() + random.nextDouble() * (how.delayMost() - how.delayLeast()),
          () -> {
            try {
              ends[at.other()][at.of()].send(ByteBuffer.wrap(bytes), poolers[at.other()]);
            } catch (IOException e) {
              // as lost as any
            }
          });
    }
  }

  @Override
  public void close() throws IOException {
    selector.close();
    for (DatagramChannel[] row : ends) {
      for (DatagramChannel c : row) {
        if (c != null) {
          c.close();
        }
      }
    }
  }
}
