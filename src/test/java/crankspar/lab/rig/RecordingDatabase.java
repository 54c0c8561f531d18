package crankspar.lab.rig;

import crankspar.pg.PgDecoder;
import crankspar.pg.PgEncoder;
import crankspar.pg.PgMessage;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;

/** A database that writes each statement into a history and answers it after a fixed time. */
final class RecordingDatabase extends SelectorThread {
  private static final int BACKLOG = 512;
  private static final int READ_BYTES = 16 * 1024;

  private record Due(SocketChannel channel, byte[] bytes, double at) {}

  private final AttemptHistory history;
  private final boolean primary;
  private final double answerMs;
  private final ServerSocketChannel server = ServerSocketChannel.open();
  private final ArrayDeque<Due> due = new ArrayDeque<>();
  private final ByteBuffer in = ByteBuffer.allocate(READ_BYTES);

  RecordingDatabase(AttemptHistory history, boolean primary, double answerMs) throws IOException {
    this.history = history;
    this.primary = primary;
    this.answerMs = answerMs;
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    server.configureBlocking(false).register(selector, SelectionKey.OP_ACCEPT);
    begin("database");
  }

  int port() {
    return server.socket().getLocalPort();
  }

  @Override
  void ready(SelectionKey key) throws IOException {
    if (key.isAcceptable()) {
      for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
        c.configureBlocking(false).register(selector, SelectionKey.OP_READ, new PgDecoder(true));
      }
      return;
    }
    var channel = (SocketChannel) key.channel();
    if (channel.read(in.clear()) < 0) {
      channel.close();
      return;
    }
    var decoder = (PgDecoder) key.attachment();
    decoder.feed(in.flip());
    try {
      for (PgMessage m = decoder.next(); m != null; m = decoder.next()) {
        on(m, channel);
      }
    } catch (PgDecoder.Malformed e) {
      history.attempt("malformed: " + e.getMessage(), earliest);
      channel.close();
    }
  }

  private void on(PgMessage message, SocketChannel channel) throws IOException {
    if (message instanceof PgMessage.Startup) {
      write(
          channel,
          new PgEncoder().add(new PgMessage.AuthenticationOk()).add(new PgMessage.ReadyForQuery()));
    } else if (message instanceof PgMessage.Query q && q.sql().isEmpty()) {
      write(
          channel,
          new PgEncoder()
              .add(new PgMessage.EmptyQueryResponse())
              .add(new PgMessage.ReadyForQuery()));
    } else if (message instanceof PgMessage.Query q) {
      boolean probe = q.sql().startsWith("SHOW");
      if (!probe) {
        history.attempt(q.sql(), earliest);
      }
      due.add(new Due(channel, row(probe), AttemptHistory.now() + answerMs));
    }
  }

  private byte[] row(boolean probe) {
    long position = System.currentTimeMillis();
    String value = probe ? "x0=" + position / 1000.0 + ",x1=" + (primary ? 1 : 0) : "v";
    return new PgEncoder()
        .add(PgEncoder.textColumns("val"))
        .add(new PgMessage.DataRow(List.of(value.getBytes(StandardCharsets.US_ASCII))))
        .add(new PgMessage.CommandComplete("SELECT 1"))
        .add(new PgMessage.ParameterStatus("role", primary ? "primary" : "replica"))
        .add(new PgMessage.ParameterStatus("applied_ms", Long.toString(position)))
        .add(new PgMessage.ReadyForQuery())
        .bytes();
  }

  private static void write(SocketChannel channel, PgEncoder message) throws IOException {
    channel.write(ByteBuffer.wrap(message.bytes()));
  }

  @Override
  void tick() {
    while (!due.isEmpty() && due.peek().at() <= AttemptHistory.now()) {
      Due next = due.poll();
      try {
        next.channel().write(ByteBuffer.wrap(next.bytes()));
      } catch (IOException e) {
        // its pooler has given it up
      }
    }
  }
}
