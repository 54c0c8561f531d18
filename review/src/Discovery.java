import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery: each watch gets the whole list, and empty lines while nothing changes. */
final class Discovery implements AutoCloseable {
  private static final long EMPTY_LINE_MS = 2000;

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
  private final Transcript transcript;
  private final String list;

  Discovery(String list, Transcript transcript) throws IOException {
    this.list = list;
    this.transcript = transcript;
    daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  private static void daemon(Runnable work) {
    var thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        daemon(() -> watch(socket));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void watch(Socket socket) {
    try (socket) {
      var in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String request = in.readLine();
      for (String line = request; line != null && !line.isEmpty(); line = in.readLine()) {
        // the head
      }
      transcript.add("discovery", "asked: " + request);
      OutputStream out = socket.getOutputStream();
      out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      watches.add(socket);
      chunk(out, list + "\n");
      transcript.add("discovery", "told the whole list");
      while (true) {
        Thread.sleep(EMPTY_LINE_MS);
        chunk(out, "\n");
      }
    } catch (IOException e) {
      transcript.add("discovery", "a watch ended");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      watches.remove(socket);
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
    out.write(bytes);
    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : watches) {
      socket.close();
    }
  }
}
