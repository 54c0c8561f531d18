package crankspar.net;

/**
 * A value too long to hold, on its way from a server's connection to a client's. While too much of
 * it waits for the client the server is not read, so that any number of them together stays within
 * what the places for clients allow. Guards against values that together are more than the heap.
 */
public final class StreamedValue {
  /** What may wait for the client: with one more read at most. */
  private static final int MOST = 64 * 1024;

  private final Connection source;
  private Connection sink;
  private int waiting;
  private boolean held;

  public StreamedValue(Connection source) {
    this.source = source;
  }

  /** Whoever the answer belongs to; said before the first part comes. */
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
