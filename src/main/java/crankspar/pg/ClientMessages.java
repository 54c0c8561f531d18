package crankspar.pg;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * What one client has sent and is not taken yet, in order. Only the heads of messages are looked at
 * as they arrive; a message is decoded when it is taken, so that what waits costs its bytes and no
 * more.
 */
final class ClientMessages {
  /** So many messages may wait, whatever their length. */
  private static final int MESSAGES_MOST = 128;

  /** So many bytes may wait, in however many messages. */
  private static final int SMALL_BYTES = 16 * 1024;

  /** More bytes than this never wait, in however few messages. */
  private static final int BYTES_MOST = 2304 * 1024;

  /** Requests for encryption and a startup message: no client of ours sends more before a query. */
  private static final int OPENING_MOST = 8;

  private static final int ARRIVALS_MOST = 64;

  /** The length of a query below which it cannot name an id, a class, a time and a group. */
  private static final int STATEMENT_LEAST = 32;

  /** A message and the earliest time at which its last byte may have come (ms). */
  record Message(PgMessage message, double since) {}

  /** The bytes up to {@code end}, counted from the connection's first, may have come then (ms). */
  private record Arrival(long end, double since) {}

  private final PgDecoder decoder = new PgDecoder(true);
  private final ArrayDeque<Message> opening = new ArrayDeque<>(2);
  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>(2);
  private PgMessage.CancelRequest cancel;
  private boolean terminated;
  private long fed;
  private long arrived;
  private int whole;
  private int statements;

  /** Adds bytes that may have come at {@code since} (ms) at the earliest. */
  void feed(ByteBuffer in, double since) throws PgDecoder.Malformed {
    fed += in.remaining();
    decoder.feed(in);
    open(since);
    for (char type = decoder.scan(); type != 0; type = decoder.scan()) {
      whole++;
      arrived++;
      statements += type == 'Q' && decoder.scannedLength() >= STATEMENT_LEAST ? 1 : 0;
      terminated |= type == 'X';
    }
    Arrival last = arrivals.peekLast();
    if (last != null && (last.since() == since || arrivals.size() >= ARRIVALS_MOST)) {
      arrivals.pollLast();
      arrivals.add(new Arrival(fed, last.since()));
    } else {
      arrivals.add(new Arrival(fed, since));
    }
  }

  private void open(double since) throws PgDecoder.Malformed {
    while (!decoder.started()) {
      PgMessage message = decoder.next();
      if (message == null) {
        return;
      }
      arrived++;
      if (message instanceof PgMessage.CancelRequest c) {
        cancel = c;
        return;
      }
      if (opening.size() >= OPENING_MOST) {
        throw new PgDecoder.Malformed("too many messages before a startup");
      }
      opening.add(new Message(message, since));
    }
  }

  /** The cancel that the connection was opened for, or null. */
  PgMessage.CancelRequest cancel() {
    return cancel;
  }

  /** Whether a Terminate has come, whatever stands before it. */
  boolean terminated() {
    return terminated;
  }

  /** The first whole message, or null; it is malformed if its body is. */
  Message poll() throws PgDecoder.Malformed {
    if (!opening.isEmpty()) {
      return opening.poll();
    }
    if (whole == 0) {
      return null;
    }
    whole--;
    boolean statement = decoder.headType() == 'Q' && decoder.headLength() >= STATEMENT_LEAST;
    statements -= statement ? 1 : 0;
    PgMessage message = decoder.next();
    long end = fed - decoder.held();
    while (arrivals.peek().end() < end) {
      arrivals.poll();
    }
    return new Message(message, arrivals.peek().since());
  }

  /** Takes all that wait and hands the statements among them over, in order. */
  void forEachStatement(Consumer<String> action) {
    try {
      for (Message next = poll(); next != null; next = poll()) {
        if (next.message() instanceof PgMessage.Query query) {
          action.accept(query.sql());
        }
      }
    } catch (PgDecoder.Malformed e) {
      clear(); // what stands behind it cannot be told apart
    }
  }

  /** Whether no whole message waits. */
  boolean isEmpty() {
    return size() == 0;
  }

  /** The number of whole messages that wait. */
  int size() {
    return whole + opening.size();
  }

  /** The number of statements for a database among them. */
  int statements() {
    return statements;
  }

  /** Whether nothing more may be read until some of it is taken. */
  boolean full() {
    return whole > MESSAGES_MOST && decoder.held() > SMALL_BYTES
        || whole > 0 && decoder.held() > BYTES_MOST;
  }

  /** Whether part of a message has come. */
  boolean partial() {
    return decoder.partial();
  }

  /** The number of whole messages so far. */
  long arrived() {
    return arrived;
  }

  /** Bytes that wait. */
  int held() {
    return decoder.held();
  }

  /** Bytes of memory that are held. */
  int memory() {
    return decoder.memory();
  }

  /** Forgets all and holds nothing more. */
  void clear() {
    opening.clear();
    arrivals.clear();
    whole = 0;
    statements = 0;
    decoder.release();
  }
}
