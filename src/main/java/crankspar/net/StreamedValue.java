package crankspar.net;

/**
 * Streams a value that is too long to buffer from a server's connection to a client's. While too
 * much of it waits for the client the server is not read (backpressure), so that any number of such
 * values together stays within the memory bounds for clients instead of exceeding the heap.
 */
public final class StreamedValue {
  /** Bytes that may wait for the client, plus one more read at most. */
  private static final int MOST = 64 * 1024;

  private final Connection source;
  private Connection sink;
  private int waiting;
  private boolean held;

  public StreamedValue(Connection source) {
    this.source = source;
  }

  /** Sets the client's connection; called before the first part arrives. */
  public void to(Connection sink) {
    this.sink = sink;
  }

  public void pass(byte[] part) {
    waiting += part.length;
    sink.write(part, part.length, () -> left(part.length));
    if (waiting > MOST && !held) {
      held = true;
      source.reading(false);
    }
  }

  private void left(int bytes) {
    waiting -= bytes;
    if (held && waiting <= MOST / 2) {
      held = false;
      source.reading(true);
    }
  }
}
