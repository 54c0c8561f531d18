package crankspar.lab;

import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.SplittableRandom;

/** A relay for datagrams that loses a share of them and delays the others, each by its own time. */
final class Relay implements AutoCloseable {
  private final DatagramChannel channel;
  private final SplittableRandom random;
  private volatile InetSocketAddress to;
  private volatile double loss;

  /** Passes on to {@code to} what comes to its own address; delays are ms. */
  Relay(EventLoop loop, InetSocketAddress to, double loss, double least, double most, long seed)
      throws IOException {
    this.to = to;
    this.loss = loss;
    random = new SplittableRandom(seed);
    channel = DatagramChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
    var thread =
        new Thread(
            () -> {
              var buffer = ByteBuffer.allocate(2048);
              try {
                while (true) {
                  buffer.clear();
                  channel.receive(buffer);
                  buffer.flip();
                  byte[] bytes = new byte[buffer.remaining()];
                  buffer.get(bytes);
                  if (random.nextDouble() >= this.loss) {
                    loop.after(least + random.nextDouble() * (most - least), () -> pass(bytes));
                  }
                }
              } catch (IOException e) {
                // closed
              }
            },
            "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void pass(byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), to);
    } catch (IOException e) {
      // as lost as any
    }
  }

  void loss(double share) {
    loss = share;
  }

  InetSocketAddress address() throws IOException {
    return (InetSocketAddress) channel.getLocalAddress();
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
