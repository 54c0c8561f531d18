package crankspar.pooling;

import crankspar.net.Connection;
import java.util.List;

/** What is written to a client, with the backpressure on the server whose reply it is. */
final class ClientOutput {
  private final ClientBuffers buffers;
  private Connection connection;

  /** Whose replies are passed on as they arrive, or null. */
  private Lease source;

  private Backpressure flow;

  ClientOutput(ClientBuffers buffers) {
    this.buffers = buffers;
  }

  void opened(Connection clientConnection) {
    connection = clientConnection;
  }

  /** The replies on this server connection are passed on as they arrive. */
  void passOn(Lease lease) {
    source = lease;
    flow =
        new Backpressure(
            on -> {
              if (source != null) {
                source.setServerReading(on);
              }
            });
  }

  /** Nothing more is passed on. */
  void ended() {
    source = null;
  }

  /** Passes on frames from the server; false if there is no room for what the client leaves. */
  boolean fromServer(List<Frame> frames) {
    byte[] bytes = Frame.join(frames);
    Backpressure current = flow;
    current.bytesQueued(bytes.length);
    connection.write(bytes, bytes.length, () -> current.bytesWritten(bytes.length));
    return buffers.unsent(connection.unsentBytes());
  }

  /** Writes the pooler's own frames; false if there is no room for what the client leaves. */
  boolean write(List<Frame> frames) {
    connection.write(Frame.join(frames));
    return buffers.unsent(connection.unsentBytes());
  }
}
