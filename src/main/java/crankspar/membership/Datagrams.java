package crankspar.membership;

import crankspar.core.Counters;
import crankspar.net.DatagramPort;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The datagrams between poolers: what comes from a known address is handed over on the loop, before
 * any work; what cannot be sent is lost and counted.
 */
public final class Datagrams implements AutoCloseable {
  private final Counters counters;
  private final Predicate<InetSocketAddress> known;
  private final Consumer<byte[]> taker;
  private final DatagramPort port;

  /** Listens at once; {@code taker} hears each on the loop. */
  public Datagrams(
      EventLoop loop, Counters counters, InetSocketAddress listen, Consumer<byte[]> taker)
      throws IOException {
    this(loop, counters, listen, from -> true, taker);
  }

  /**
   * Only what comes from an address that {@code known} holds is handed over; the rest is dropped
   * and counted.
   */
  public Datagrams(
      EventLoop loop,
      Counters counters,
      InetSocketAddress listen,
      Predicate<InetSocketAddress> known,
      Consumer<byte[]> taker)
      throws IOException {
    this.counters = counters;
    this.known = known;
    this.taker = taker;
    port = new DatagramPort(loop, listen, 2 * Packet.MOST, this::received);
  }

  public InetSocketAddress address() throws IOException {
    return port.address();
  }

  private void received(InetSocketAddress from, byte[] bytes) {
    if (known.test(from)) {
      taker.accept(bytes);
    } else {
      counters.add("peers_dropped_stranger");
    }
  }

  /** Once, on the loop. */
  public void send(InetSocketAddress to, byte[] bytes) {
    if (bytes.length > Packet.MOST) {
      // Longer ones void a run.
      throw new IllegalArgumentException("a datagram of " + bytes.length + " bytes");
    }
    if (!port.send(to, bytes)) {
      counters.add("peers_unsent");
    }
  }

  @Override
  public void close() {
    port.close();
  }
}
