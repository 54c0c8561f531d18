package crankspar.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A primary that speaks REST and answers every call at once; each connection has a thread. */
final class RestStandIn implements AutoCloseable {
  private final ServerSocket server;

  RestStandIn() throws IOException {
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void daemon(Task task) {
    var thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // the connection or the stand-in has ended
              }
            },
            "rest-stand-in");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      daemon(() -> serve(socket));
    }
  }

  private static void serve(Socket socket) throws IOException {
    try (socket) {
      var in = new BufferedInputStream(socket.getInputStream());
      for (String head = message(in); head != null; head = message(in)) {
        String body =
            head.startsWith("POST")
                ? "{\"claim\":1}"
                : head.startsWith("GET /v1/load")
                    ? "{\"role\":\"primary\",\"position\":" + System.currentTimeMillis() + "}"
                    : "{\"items\":[1]}";
        String answer =
            "HTTP/1.1 200 OK\r\nRole: primary\r\nApplied-Position: %d\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(System.currentTimeMillis(), body.length(), body);
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      }
    }
  }

  /** The head of one message, whose body is read too; null at the end. */
  static String message(InputStream in) throws IOException {
    var head = new StringBuilder();
    int length = 0;
    for (String line = line(in); line != null; line = line(in)) {
      if (line.isEmpty()) {
        in.readNBytes(length);
        return head.toString();
      }
      head.append(line).append('\n');
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    return null;
  }

  private static String line(InputStream in) throws IOException {
    var line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.toString();
      } else if (c != '\r') {
        line.append((char) c);
      }
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
