package crankspar.lab;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for processes that are told where to listen before they start. They lie below the range
 * from which the system gives a port to whoever asks for any, so that no other socket is given one
 * between the choice and the bind; none is chosen twice.
 */
public final class LoopbackPorts {
  private static final int FIRST = 10_000;
  private static final int COUNT = 20_000;

  /** Ports between the starts of two processes with neighbouring ids. */
  private static final int PROCESS_STRIDE = 331;

  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STRIDE % COUNT));

  private LoopbackPorts() {}

  /** An address of 127.0.0.1 at which nothing listens. */
  public static InetSocketAddress free() throws IOException {
    return free(InetAddress.getLoopbackAddress());
  }

  /** An address of this host at which nothing listens, by TCP or UDP. */
  public static InetSocketAddress free(InetAddress host) throws IOException {
    for (int i = 0; i < COUNT; i++) {
      var address = new InetSocketAddress(host, FIRST + NEXT.getAndIncrement() % COUNT);
      if (unused(address)) {
        return address;
      }
    }
    throw new IOException("no port of " + host + " is free from " + FIRST + " on");
  }

  private static boolean unused(InetSocketAddress address) {
    try (var stream = new ServerSocket();
        var datagrams = new DatagramSocket(address)) {
      stream.bind(address);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
