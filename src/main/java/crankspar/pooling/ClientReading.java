package crankspar.pooling;

import crankspar.net.Connection;

/** Decides when a client's connection is read: not while too much of it waits to be processed. */
final class ClientReading {
  /** Bytes of queued frames past which reading stops; a whole message always fits the queue. */
  private static final int MAX_HELD_BYTES = 64 * 1024;

  /** The same while it is found out whether the client's close stands behind what it has sent. */
  private static final int MAX_LOOK_AHEAD_BYTES = 2304 * 1024;

  private final FrameQueue held;
  private Connection connection;
  private boolean serverWritable = true;
  private boolean reading = true;
  private boolean lookingAhead;

  ClientReading(FrameQueue held) {
    this.held = held;
  }

  void opened(Connection clientConnection) {
    connection = clientConnection;
  }

  boolean serverWritable() {
    return serverWritable;
  }

  /** Sets whether the server connection can take more data. */
  void serverWritable(boolean on) {
    serverWritable = on;
  }

  /** Turns reading on or off as the queue and the server connection require now. */
  void update() {
    boolean wanted =
        lookingAhead
            ? held.bytes() <= MAX_LOOK_AHEAD_BYTES
            : held.bytes() <= MAX_HELD_BYTES && serverWritable;
    if (wanted != reading) {
      reading = wanted;
      connection.reading(wanted);
    }
  }

  /**
   * Reads what the client has sent so far, in larger part than is kept otherwise.
   *
   * @return whether nothing is left unread, behind which its close might stand
   */
  boolean lookAhead() {
    lookingAhead = true;
    update();
    boolean allRead = connection.readAll();
    lookingAhead = false;
    return allRead;
  }
}
