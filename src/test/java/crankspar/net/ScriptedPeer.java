package crankspar.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A peer on a loopback socket that does what a test's script says, connection by connection. */
public final class ScriptedPeer implements AutoCloseable {
  /** The script for one connection, run on a thread of its own. */
  public interface Script {
    void play(Wire wire) throws IOException, InterruptedException;
  }

  public static final int PATIENCE_MS = 5000;

  private final ServerSocket server;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
  private final CountDownLatch cue = new CountDownLatch(1);

  public ScriptedPeer(Script script) throws IOException {
    this(0, script);
  }

  /** At this port, where something is to be found that was not there before. */
  public ScriptedPeer(int port, Script script) throws IOException {
    server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    daemon(
        () -> {
          while (true) {
            Socket socket = server.accept();
            sockets.add(socket);
            daemon(
                () -> {
                  try (socket) {
                    script.play(new Wire(socket));
                  }
                });
          }
        });
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void daemon(Task task) {
    var thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // the connection or the test has ended
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Notes what came, for the test to await. */
  public void saw(String what) {
    seen.add(what);
  }

  /** The next thing noted, or null when the patience is over. */
  public String next() throws InterruptedException {
    return seen.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
  }

  public int left() {
    return seen.size();
  }

  /** What its script waits for where the test says when. */
  public CountDownLatch cue() {
    return cue;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** One end of a connection, for scripts and for clients of the tests. */
  public static final class Wire implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    public Wire(Socket socket) throws IOException {
      this.socket = socket;
      in = socket.getInputStream();
      socket.setSoTimeout(PATIENCE_MS);
    }

    public static Wire to(InetSocketAddress address) throws IOException {
      return new Wire(new Socket(address.getAddress(), address.getPort()));
    }

    public void send(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
    }

    public void send(String text) throws IOException {
      send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public byte[] read(int n) throws IOException {
      byte[] bytes = in.readNBytes(n);
      if (bytes.length < n) {
        throw new IOException("ended");
      }
      return bytes;
    }

    /** Whether the other end closes without another byte. */
    public boolean ends() throws IOException {
      return in.read() < 0;
    }

    /** One HTTP message with its whole body, or null at the end. */
    public String http() throws IOException {
      var head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        int b = in.read();
        if (b < 0) {
          return null;
        }
        head.write(b);
      }
      String text = head.toString(StandardCharsets.ISO_8859_1);
      var length = java.util.regex.Pattern.compile("(?i)content-length: (\\d+)").matcher(text);
      return text
          + (length.find()
              ? new String(read(Integer.parseInt(length.group(1))), StandardCharsets.UTF_8)
              : "");
    }

    /** Ends the connection with a reset. */
    public void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
