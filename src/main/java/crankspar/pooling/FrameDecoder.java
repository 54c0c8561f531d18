package crankspar.pooling;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Cuts a byte stream into frames, however it was fragmented. It keeps at most one message, or one
 * piece of a long data message, and between messages nothing at all: an idle client costs no
 * buffer. A length that no message of its type may have is refused at the head, before any of it is
 * held.
 */
public final class FrameDecoder {
  /** No statement, parameter or description is longer than this. */
  public static final int HELD_MOST = 1 << 20;

  /** Data messages up to this are held whole; longer ones come out in pieces of up to this. */
  public static final int PIECE = 64 * 1024;

  static final int CANCEL_CODE = 80877102;
  private static final int STARTUP_MOST = 10_000;
  private static final int SHORT_MOST = 64 * 1024;
  private static final int SSL = 80877103;
  private static final int GSS = 80877104;
  private static final byte[] NOTHING = new byte[0];

  private final boolean fromClient;
  private boolean started;
  private byte[] kept = NOTHING;
  private int from, to;

  /** Bytes of a long data message that are still to come. */
  private long left;

  /** What a client sends begins with a start that has no letter; what a server sends does not. */
  public FrameDecoder(boolean fromClient) {
    this.fromClient = fromClient;
    started = !fromClient;
  }

  public void feed(ByteBuffer in) {
    int n = in.remaining();
    if (to + n > kept.length) {
      byte[] bigger =
          to - from + n > kept.length ? new byte[Math.max(to - from + n, 2 * (to - from))] : kept;
      System.arraycopy(kept, from, bigger, 0, to - from);
      kept = bigger;
      to -= from;
      from = 0;
    }
    in.get(kept, to, n);
    to += n;
  }

  /** The next frame, or null until more bytes have come. */
  public Frame next() throws Frame.Malformed {
    if (left > 0) {
      int n = (int) Math.min(Math.min(left, PIECE), to - from);
      if (n == 0) {
        return rest();
      }
      left -= n;
      return new Frame(Frame.PART, cut(n), left == 0);
    }
    int head = started ? 5 : 4;
    if (to - from < head) {
      return rest();
    }
    int length = ByteBuffer.wrap(kept, from + head - 4, 4).getInt();
    if (!started) {
      return start(length);
    }
    char type = (char) (kept[from] & 0xff);
    if (length < 4 || length > most(type)) {
      throw new Frame.Malformed(
          "a message of type "
              + (type > ' ' && type < 127 ? type : '?')
              + " and "
              + length
              + " bytes");
    }
    if (length + 1 > PIECE && (type == 'D' || type == 'd')) {
      if (to - from < PIECE) {
        return null;
      }
      left = length + 1L - PIECE;
      return new Frame(type, cut(PIECE), false);
    }
    return to - from < length + 1 ? null : new Frame(type, cut(length + 1), true);
  }

  private Frame start(int length) throws Frame.Malformed {
    if (length < 8 || length > STARTUP_MOST) {
      throw new Frame.Malformed("a start of " + length + " bytes");
    }
    if (to - from < length) {
      return null;
    }
    int code = ByteBuffer.wrap(kept, from + 4, 4).getInt();
    if (code == SSL || code == GSS) {
      return new Frame(Frame.ENCRYPTION, cut(length), true);
    }
    started = true;
    return new Frame(code == CANCEL_CODE ? Frame.CANCEL : Frame.STARTUP, cut(length), true);
  }

  private byte[] cut(int n) {
    from += n;
    return Arrays.copyOfRange(kept, from - n, from);
  }

  private Frame rest() {
    if (from == to) {
      from = to = 0;
      kept = NOTHING;
    }
    return null;
  }

  /** Whether no byte of a next message has come. */
  public boolean empty() {
    return from == to && left == 0;
  }

  /** The type of the message whose beginning has come. */
  public char headType() {
    return from == to ? 0 : (char) (kept[from] & 0xff);
  }

  /** Bytes that wait for the rest of their message. */
  public int held() {
    return to - from;
  }

  /**
   * The most that a message of this type may tell as its length; none for a type that this side
   * never sends.
   */
  private int most(char type) {
    if (fromClient) {
      return switch (type) {
        case 'Q', 'P', 'B', 'F' -> HELD_MOST;
        case 'd' -> Integer.MAX_VALUE - 1;
        case 'D', 'E', 'C', 'f', 'p' -> SHORT_MOST;
        case 'S', 'X', 'H', 'c' -> 4;
        default -> 0;
      };
    }
    return switch (type) {
      case 'D', 'd' -> Integer.MAX_VALUE - 1;
      case 'T', 'E', 'N', 'V', 't', 'A' -> HELD_MOST;
      case 'R', 'S', 'C', 'G', 'H', 'W', 'v' -> SHORT_MOST;
      case 'K' -> 260;
      case 'Z' -> 5;
      case '1', '2', '3', 'I', 'n', 's', 'c' -> 4;
      default -> 0;
    };
  }
}
