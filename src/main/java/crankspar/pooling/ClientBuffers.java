package crankspar.pooling;

import crankspar.net.MemoryBudget;
import crankspar.net.MemoryBudget.Use;

/**
 * Accounts for what a client's connection buffers: against the configured limit for the messages of
 * all clients, and against the memory that all peers of this process may hold.
 */
final class ClientBuffers {
  private final ClientContext context;
  private final MemoryBudget.Share memory;
  private int messageBytes;

  ClientBuffers(ClientContext context, MemoryBudget.Holder holder) {
    this.context = context;
    memory = context.memory().open(holder);
  }

  /**
   * Whether there is room for what has come from the client and for what is made of it.
   *
   * @param queuedBytes bytes of messages that wait
   * @param session null before the login
   * @param opening the request in flight, or null
   */
  boolean account(
      int queuedBytes, FrameDecoder decoder, SessionState session, OpeningBatch opening) {
    boolean room =
        messages(queuedBytes + decoder.bufferedBytes(), queuedBytes + decoder.memory())
            && memory.set(Use.REQUEST, opening == null ? 0 : opening.bytes());
    if (room && session != null && !memory.set(Use.SESSION, session.memoryBytes())) {
      context.count("pooling_sessions_too_large");
      return false;
    }
    return room;
  }

  /** Whether there is room for messages of so many bytes, which take so much memory. */
  private boolean messages(int bytes, int memoryBytes) {
    int change = bytes - messageBytes;
    messageBytes = bytes;
    boolean withinLimit = change == 0 || context.reserveBytes(change);
    return memory.set(Use.INPUT, memoryBytes) && withinLimit;
  }

  /** Whether there is room for a request that the client is about to make. */
  boolean request(OpeningBatch opening) {
    boolean room = memory.set(Use.REQUEST, opening.bytes());
    if (!room) {
      context.count("pooling_requests_too_large");
    }
    return room;
  }

  /** Whether there is room for so many bytes that the client has not read yet. */
  boolean unsent(int bytes) {
    return memory.set(Use.ANSWER, bytes);
  }

  /** Only what the client has not read is left, of so many bytes. */
  void leaving(int unsentBytes) {
    context.reserveBytes(-messageBytes);
    messageBytes = 0;
    memory.force(Use.INPUT, 0);
    memory.force(Use.REQUEST, 0);
    memory.force(Use.SESSION, 0);
    memory.force(Use.ANSWER, unsentBytes);
  }

  void release() {
    memory.close();
  }
}
