package crankspar.pooling;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Decodes a byte stream into frames, however it is fragmented. It buffers at most one message, or
 * one piece of a long data message, and nothing between messages, so that an idle client costs no
 * buffer. A length that is invalid for the message type is rejected at the header, before any of
 * the body is buffered.
 */
public final class FrameDecoder {
  /** Maximum length of statements, parameters and descriptions, in bytes. */
  public static final int MAX_BUFFERED_LENGTH = 1 << 20;

  /**
   * Data messages up to this size, in bytes, are decoded whole; longer ones in pieces of at most
   * this size.
   */
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

  /**
   * Creates a decoder.
   *
   * @param fromClient whether the stream comes from a client and so begins with a startup message,
   *     which has no type byte
   */
  public FrameDecoder(boolean fromClient) {
    this.fromClient = fromClient;
    started = !fromClient;
  }

  /** Adds received bytes. */
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

  /** Returns the next frame, or null until more bytes arrive. */
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
          "invalid message of type "
              + (type > ' ' && type < 127 ? type : '?')
              + ", length "
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
      throw new Frame.Malformed("invalid startup message of " + length + " bytes");
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

  /** Whether no byte of a further message has arrived. */
  public boolean atMessageBoundary() {
    return readIndex == writeIndex && remaining == 0;
  }

  /** Returns the type of the message that has partly arrived, or 0 if there is none. */
  public char headType() {
    return readIndex == writeIndex ? 0 : (char) (buffer[readIndex] & 0xff);
  }

  /** Returns the number of buffered bytes that await the rest of their message. */
  public int bufferedBytes() {
    return writeIndex - readIndex;
  }

  /** Returns the bytes of memory that the buffer takes. */
  int memory() {
    return buffer.length;
  }

  /** Forgets what is buffered. */
  void release() {
    readIndex = writeIndex = 0;
    buffer = EMPTY;
  }

  /**
   * Returns the maximum value of the length field of a message type, 0 for a type that this side
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
