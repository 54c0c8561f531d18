import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A link between two processes. While it is cut, nothing passes: open connections are silent, and
 * new ones stay without a word; what was sent meanwhile arrives when the link is back.
 */
final class Relay {
  private static final int LOOK_MS = 5;

  final int port;
  private final int target;
  private volatile boolean cut;

  Relay(int target) throws IOException {
    this.target = target;
    var server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    port = server.getLocalPort();
    daemon(
        () -> {
          while (true) {
            try {
              Socket socket = server.accept();
              daemon(() -> pass(socket));
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  void cut(boolean on) {
    cut = on;
  }

  private static void daemon(Runnable work) {
    var thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  private void awaitLink() {
    while (cut) {
      try {
        Thread.sleep(LOOK_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void pass(Socket from) {
    awaitLink();
    try {
      var to = new Socket(InetAddress.getLoopbackAddress(), target);
      to.setTcpNoDelay(true);
      from.setTcpNoDelay(true);
      daemon(() -> copy(from, to));
      copy(to, from);
    } catch (IOException e) {
      close(from);
    }
  }

  private void copy(Socket from, Socket to) {
    var buffer = new byte[8192];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        awaitLink();
        out.write(buffer, 0, n);
      }
      awaitLink();
      to.shutdownOutput();
    } catch (IOException e) {
      close(from);
      close(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // closed already
    }
  }
}
