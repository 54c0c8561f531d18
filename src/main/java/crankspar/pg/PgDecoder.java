package crankspar.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** Cuts a byte stream into messages, however it was fragmented. It keeps at most one message. */
public final class PgDecoder {
  /** No statement is longer than this, nor said to be and believed. */
  static final int FRAME_MOST = 1088 * 1024;

  /** Values up to this are held whole; longer ones come out in parts. */
  static final int VALUE_WHOLE = 64 * 1024;

  /** No value is said to be longer than this and believed: its head is refused. */
  static final int VALUE_MOST = 4 << 20;

  /**
   * What a row of one value holds besides it: its length, the count of columns and the value's
   * length.
   */
  private static final int ROW = 10;

  private static final int STARTUP_MOST = 10_000;

  /** A server's short messages: longer ones are noise that happens to begin like a message. */
  private static final int SHORT_MOST = 1024;

  private static final int ERROR_MOST = 16 * 1024;
  private static final int KEEP = 4 * 1024;

  /** A message's type and length. */
  private static final int MESSAGE_HEAD = 5;

  /** What a column's description holds after its name. */
  private static final int COLUMN = 18;

  private static final int VERSION_3 = 3 << 16;
  private static final int CANCEL = 80877102;
  private static final int SSL = 80877103;
  private static final int GSS = 80877104;

  /** Bytes that are no message: an error for this peer, and the end of its connection. */
  public static final class Malformed extends Exception {
    Malformed(String message) {
      super(message, null, false, false); // no stack: a peer's bytes cost no more than its end
    }
  }

  private final boolean fromClient;
  private boolean started;
  private byte[] kept = new byte[512];
  private int from, to;

  /** Up to where {@link #scan} has looked. */
  private int scanned;

  private int scannedLength;

  /** Bytes of a long value that are still to come. */
  private int left;

  public PgDecoder(boolean fromClient) {
    this.fromClient = fromClient;
    started = !fromClient;
  }

  public void feed(ByteBuffer in) {
    shrinkIfEmpty();
    int n = in.remaining();
    if (to + n > kept.length) {
      byte[] bigger =
          to - from + n > kept.length ? new byte[Math.max(2 * kept.length, to - from + n)] : kept;
      System.arraycopy(kept, from, bigger, 0, to - from);
      kept = bigger;
      to -= from;
      scanned = Math.max(0, scanned - from);
      from = 0;
    }
    in.get(kept, to, n);
    to += n;
  }

  /** Whether a client's startup message has been read. */
  boolean started() {
    return started;
  }

  /**
   * Looks at the head of a message that {@link #next} has not returned yet, each once.
   *
   * @return its type, or 0 until the rest of it has come
   * @throws Malformed if no message begins like this
   */
  char scan() throws Malformed {
    if (!started || to - scanned < MESSAGE_HEAD) {
      return 0;
    }
    char type = (char) (kept[scanned] & 0xff);
    int length = lengthAt(scanned + 1);
    check(length, 4, most(type));
    if (to - scanned < length + 1) {
      return 0;
    }
    scanned += length + 1;
    scannedLength = length;
    return type;
  }

  /** The length of the message that {@link #scan} has found last. */
  int scannedLength() {
    return scannedLength;
  }

  /** The length of the message that {@link #next} returns next; its head has to be here. */
  int headLength() {
    return lengthAt(from + 1);
  }

  /** The type of the message that {@link #next} returns next; some byte of it has to be here. */
  char headType() {
    return (char) (kept[from] & 0xff);
  }

  private int lengthAt(int index) {
    return ByteBuffer.wrap(kept, index, 4).getInt();
  }

  private static void check(int length, int least, int most) throws Malformed {
    if (length < least || length > most) {
      throw new Malformed("a message of " + length + " bytes");
    }
  }

  private void shrinkIfEmpty() {
    if (from == to) {
      from = to = scanned = 0;
      if (kept.length > KEEP) {
        kept = new byte[512];
      }
    }
  }

  /** The next whole message, or null until more bytes have come. */
  public PgMessage next() throws Malformed {
    if (left > 0) {
      int n = Math.min(left, to - from);
      left -= n;
      from += n;
      return n == 0 ? null : new PgMessage.Part(Arrays.copyOfRange(kept, from - n, from));
    }
    int head = started ? MESSAGE_HEAD : 4;
    if (to - from < head) {
      return null;
    }
    int length = lengthAt(from + head - 4);
    check(length, started ? 4 : 8, started ? most((char) (kept[from] & 0xff)) : STARTUP_MOST);
    if (started && !fromClient && kept[from] == 'D') {
      fits(length);
      if (length > VALUE_WHOLE + ROW) {
        if (to - from < head + ROW - 4) {
          return null;
        }
        from += head + ROW - 4;
        left = length - ROW;
        return new PgMessage.LongRow(left);
      }
    }
    int whole = length + head - 4;
    if (to - from < whole) {
      return null;
    }
    char type = started ? (char) (kept[from] & 0xff) : 0;
    var body = new Body(kept, from + head, from + whole);
    from += whole;
    PgMessage message =
        started ? fromClient ? clients(type, body) : servers(type, body) : startup(body);
    if (!body.over()) {
      throw new Malformed("a message is longer than what it holds");
    }
    shrinkIfEmpty();
    return message;
  }

  /** Bytes that {@link #next} has not returned yet. */
  int held() {
    return to - from;
  }

  /** Whether part of a message has come that {@link #scan} has not found whole. */
  boolean partial() {
    return started ? scanned < to : from < to;
  }

  /** Bytes of memory for what is held. */
  int memory() {
    return kept.length;
  }

  /** Forgets all and holds nothing more. */
  void release() {
    kept = new byte[0];
    from = to = scanned = 0;
  }

  /** Whether no byte of a next message has come. */
  boolean empty() {
    return from == to && left == 0;
  }

  /**
   * The most that a message of this type may hold; none for a type that this side never sends.
   * Guards against a wait for the rest of what was never a message: its head alone tells.
   */
  private int most(char type) {
    if (fromClient) {
      return switch (type) {
        case 'Q', 'P', 'B', 'd', 'F' -> FRAME_MOST;
        case 'D', 'E', 'C', 'f', 'p' -> SHORT_MOST;
        case 'S', 'X', 'H', 'c' -> 4;
        default -> 0;
      };
    }
    return switch (type) {
      case 'D' -> VALUE_MOST + ROW;
      case 'E', 'N' -> ERROR_MOST;
      case 'R', 'S', 'T', 'C' -> SHORT_MOST;
      case 'K' -> 12;
      case 'Z' -> 5;
      case 'I' -> 4;
      default -> 0;
    };
  }

  /**
   * Every answer is one value, so that a row's own length must be its frame's, less the two counts.
   */
  private void fits(int length) throws Malformed {
    if (to - from >= 11) {
      var head = ByteBuffer.wrap(kept, from + 5, 6);
      int columns = head.getShort();
      int value = head.getInt();
      if (columns != 1 || Math.max(0, value) != length - 10 || value < -1) {
        throw new Malformed(
            "a row of " + columns + " columns and " + value + " bytes in " + length);
      }
    }
  }

  private PgMessage startup(Body b) throws Malformed {
    int code = b.int32();
    if (code == SSL || code == GSS) {
      return new PgMessage.EncryptionRequest();
    }
    if (code == CANCEL) {
      return new PgMessage.CancelRequest(b.int32(), b.int32());
    }
    if (code >> 16 != VERSION_3 >> 16) {
      throw new Malformed("protocol version " + (code >> 16) + "." + (code & 0xffff));
    }
    started = true;
    scanned = from;
    var parameters = new LinkedHashMap<String, String>();
    for (String name = b.text(); !name.isEmpty(); name = b.text()) {
      parameters.put(name, b.text());
    }
    return new PgMessage.Startup(parameters);
  }

  private static PgMessage clients(char type, Body b) throws Malformed {
    return switch (type) {
      case 'Q' -> new PgMessage.Query(b.text());
      case 'S' -> new PgMessage.Sync();
      case 'X' -> new PgMessage.Terminate();
      default -> {
        b.rest();
        yield new PgMessage.Other(type);
      }
    };
  }

  private static PgMessage servers(char type, Body b) throws Malformed {
    return switch (type) {
      case 'R' -> {
        if (b.int32() != 0) {
          throw new Malformed("a password is asked for");
        }
        yield new PgMessage.AuthenticationOk();
      }
      case 'K' -> new PgMessage.BackendKeyData(b.int32(), b.int32());
      case 'S' -> new PgMessage.ParameterStatus(b.text(), b.text());
      case 'Z' -> {
        char status = b.code();
        if (status != 'I' && status != 'T' && status != 'E') {
          throw new Malformed("ready in no known state");
        }
        yield new PgMessage.ReadyForQuery();
      }
      case 'T' -> {
        int columns = b.int16();
        for (int i = 0; i < columns; i++) {
          b.text();
          b.skip(COLUMN);
        }
        yield new PgMessage.RowDescription(columns, b.whole());
      }
      case 'D' -> {
        int columns = b.int16();
        var values = new ArrayList<byte[]>(Math.min(columns, 16));
        for (int i = 0; i < columns; i++) {
          values.add(b.sized());
        }
        yield new PgMessage.DataRow(values);
      }
      case 'C' -> new PgMessage.CommandComplete(b.text());
      case 'I' -> new PgMessage.EmptyQueryResponse();
      case 'E', 'N' -> {
        Map<Character, String> fields = new LinkedHashMap<>();
        for (char code = b.code(); code != 0; code = b.code()) {
          fields.put(code, b.text());
        }
        yield new PgMessage.Report(type == 'N', fields);
      }
      default -> new PgMessage.Other(type);
    };
  }

  /** The bytes of one message; running out of them is malformed. */
  private static final class Body {
    private final byte[] bytes;
    private final int start;
    private int at;
    private final int end;

    Body(byte[] bytes, int at, int end) {
      this.bytes = bytes;
      this.start = at;
      this.at = at;
      this.end = end;
    }

    private int take(int n) throws Malformed {
      if (n < 0 || end - at < n) {
        throw new Malformed("a message ends too soon");
      }
      at += n;
      return at - n;
    }

    int int32() throws Malformed {
      return ByteBuffer.wrap(bytes, take(4), 4).getInt();
    }

    int int16() throws Malformed {
      return ByteBuffer.wrap(bytes, take(2), 2).getShort() & 0xffff;
    }

    char code() throws Malformed {
      return (char) (bytes[take(1)] & 0xff);
    }

    String text() throws Malformed {
      int start = at;
      while (bytes[take(1)] != 0) {
        // up to the zero
      }
      return new String(bytes, start, at - 1 - start, StandardCharsets.UTF_8);
    }

    byte[] sized() throws Malformed {
      int n = int32();
      if (n == -1) {
        return null;
      }
      int start = take(n);
      return Arrays.copyOfRange(bytes, start, start + n);
    }

    void skip(int n) throws Malformed {
      take(n);
    }

    void rest() {
      at = end;
    }

    boolean over() {
      return at == end;
    }

    byte[] whole() {
      return Arrays.copyOfRange(bytes, start, end);
    }
  }
}
