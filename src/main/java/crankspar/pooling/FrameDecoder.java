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
  public static final int MAX_BUFFERED_LENGTH = 1 << 20;

  /** Data messages up to this are held whole; longer ones come out in pieces of up to this. */
  public static final int MAX_PIECE_BYTES = 64 * 1024;

  static final int CANCEL_REQUEST_CODE = 80877102;
  private static final int MAX_STARTUP_LENGTH = 10_000;
  private static final int MAX_SHORT_LENGTH = 64 * 1024;
  private static final int SSL_REQUEST_CODE = 80877103;
  private static final int GSS_REQUEST_CODE = 80877104;
  private static final byte[] EMPTY = new byte[0];

  private final boolean fromClient;
  private boolean started;
  private byte[] buffer = EMPTY;
  private int readIndex, writeIndex;

  /** Bytes of a long data message that are still to come. */
  private long remaining;

  /** What a client sends begins with a start that has no letter; what a server sends does not. */
  public FrameDecoder(boolean fromClient) {
    this.fromClient = fromClient;
    started = !fromClient;
  }

  public void feed(ByteBuffer in) {
    int n = in.remaining();
    if (writeIndex + n > buffer.length) {
      byte[] bigger =
          writeIndex - readIndex + n > buffer.length
              ? new byte[Math.max(writeIndex - readIndex + n, 2 * (writeIndex - readIndex))]
              : buffer;
      System.arraycopy(buffer, readIndex, bigger, 0, writeIndex - readIndex);
      buffer = bigger;
      writeIndex -= readIndex;
      readIndex = 0;
    }
    in.get(buffer, writeIndex, n);
    writeIndex += n;
  }

  /** The next frame, or null until more bytes have come. */
  public Frame next() throws Frame.Malformed {
    if (remaining > 0) {
      int n = (int) Math.min(Math.min(remaining, MAX_PIECE_BYTES), writeIndex - readIndex);
      if (n == 0) {
        return releaseIfEmpty();
      }
      remaining -= n;
      return new Frame(Frame.PART, takeBytes(n), remaining == 0);
    }
    int headerBytes = started ? 5 : 4;
    if (writeIndex - readIndex < headerBytes) {
      return releaseIfEmpty();
    }
    int length = ByteBuffer.wrap(buffer, readIndex + headerBytes - 4, 4).getInt();
    if (!started) {
      return decodeStartup(length);
    }
    char type = (char) (buffer[readIndex] & 0xff);
    if (length < 4 || length > maxLength(type)) {
      throw new Frame.Malformed(
          "a message of type "
              + (type > ' ' && type < 127 ? type : '?')
              + " and "
              + length
              + " bytes");
    }
    if (length + 1 > MAX_PIECE_BYTES && (type == 'D' || type == 'd')) {
      if (writeIndex - readIndex < MAX_PIECE_BYTES) {
        return null;
      }
      remaining = length + 1L - MAX_PIECE_BYTES;
      return new Frame(type, takeBytes(MAX_PIECE_BYTES), false);
    }
    return writeIndex - readIndex < length + 1
        ? null
        : new Frame(type, takeBytes(length + 1), true);
  }

  private Frame decodeStartup(int length) throws Frame.Malformed {
    if (length < 8 || length > MAX_STARTUP_LENGTH) {
      throw new Frame.Malformed("a start of " + length + " bytes");
    }
    if (writeIndex - readIndex < length) {
      return null;
    }
    int code = ByteBuffer.wrap(buffer, readIndex + 4, 4).getInt();
    if (code == SSL_REQUEST_CODE || code == GSS_REQUEST_CODE) {
      return new Frame(Frame.ENCRYPTION, takeBytes(length), true);
    }
    started = true;
    return new Frame(
        code == CANCEL_REQUEST_CODE ? Frame.CANCEL : Frame.STARTUP, takeBytes(length), true);
  }

  private byte[] takeBytes(int n) {
    readIndex += n;
    return Arrays.copyOfRange(buffer, readIndex - n, readIndex);
  }

  private Frame releaseIfEmpty() {
    if (readIndex == writeIndex) {
      readIndex = writeIndex = 0;
      buffer = EMPTY;
    }
    return null;
  }

  /** Whether no byte of a next message has come. */
  public boolean atMessageBoundary() {
    return readIndex == writeIndex && remaining == 0;
  }

  /** The type of the message whose beginning has come. */
  public char headType() {
    return readIndex == writeIndex ? 0 : (char) (buffer[readIndex] & 0xff);
  }

  /** Bytes that wait for the rest of their message. */
  public int bufferedBytes() {
    return writeIndex - readIndex;
  }

  /**
   * The most that a message of this type may tell as its length; none for a type that this side
   * never sends.
   */
  private int maxLength(char type) {
    if (fromClient) {
      return switch (type) {
        case 'Q', 'P', 'B', 'F' -> MAX_BUFFERED_LENGTH;
        case 'd' -> Integer.MAX_VALUE - 1;
        case 'D', 'E', 'C', 'f', 'p' -> MAX_SHORT_LENGTH;
        case 'S', 'X', 'H', 'c' -> 4;
        default -> 0;
      };
    }
    return switch (type) {
      case 'D', 'd' -> Integer.MAX_VALUE - 1;
      case 'T', 'E', 'N', 'V', 't', 'A' -> MAX_BUFFERED_LENGTH;
      case 'R', 'S', 'C', 'G', 'H', 'W', 'v' -> MAX_SHORT_LENGTH;
      case 'K' -> 260;
      case 'Z' -> 5;
      case '1', '2', '3', 'I', 'n', 's', 'c' -> 4;
      default -> 0;
    };
  }
}
