package crankspar.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Incremental parser for HTTP/1.1 messages. Input may be split anywhere; heads are reported first,
 * then bodies as they arrive, chunked or not.
 */
public final class HttpParser {
  /** Receives the parts of parsed messages. */
  public interface Handler {
    void head(HttpHead head);

    void body(byte[] part);

    void end();
  }

  /** The input is not valid HTTP, or exceeds a limit. */
  public static final class Malformed extends Exception {
    Malformed(String message) {
      super(message, null, false, false); // no stack: a peer's bytes cost no more than its end
    }
  }

  private enum State {
    HEAD,
    LENGTH,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILER,
    TO_CLOSE
  }

  private static final int MAX_LINE_BYTES = 8 * 1024;

  /** Maximum number of lines of a head, or of the trailers behind a body, whatever their names. */
  private static final int MAX_HEADERS = 100;

  private static final int MAX_HEAD_BYTES = 32 * 1024;

  private final Handler handler;
  private final boolean requests;
  private final long maxBodyBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
  private State state = State.HEAD;
  private String startLine;
  private Map<String, String> headers = new LinkedHashMap<>();
  private int headLines;
  private int headBytes;
  private long remaining;
  private int status;
  private int completedMessages;

  public HttpParser(boolean requests, long maxBodyBytes, Handler handler) {
    this.requests = requests;
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
  }

  public void feed(ByteBuffer in) throws Malformed {
    while (in.hasRemaining()) {
      feedMessage(in);
    }
  }

  /** Parses up to the end of one message; what follows stays in the buffer. */
  public void feedMessage(ByteBuffer in) throws Malformed {
    completedMessages = 0;
    while (in.hasRemaining() && completedMessages == 0) {
      switch (state) {
        case LENGTH, CHUNK, TO_CLOSE -> bodyPart(in);
        default -> linePart(in);
      }
    }
  }

  /** Takes the rest of a line, or all that is there of it. */
  private void linePart(ByteBuffer in) throws Malformed {
    int from = in.position();
    int at = from;
    while (at < in.limit() && in.get(at) != '\n') {
      at++;
    }
    if (line.size() + at - from > MAX_LINE_BYTES) {
      throw new Malformed("a line is longer than " + MAX_LINE_BYTES + " bytes");
    }
    var part = new byte[at - from];
    in.get(part);
    line.writeBytes(part);
    if (in.hasRemaining()) {
      in.get();
      String text = line.toString(StandardCharsets.ISO_8859_1);
      line.reset();
      line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
    }
  }

  /** Counts a line of a head or of trailers: fields of one name count like others. */
  private void countHeadLine(String text) throws Malformed {
    headLines++;
    headBytes += text.length();
    if (headLines > MAX_HEADERS || headBytes > MAX_HEAD_BYTES) {
      throw new Malformed("too many headers: more than " + MAX_HEADERS + " or too long");
    }
  }

  /** Bytes of memory for the part of a head that is here, about. */
  public int held() {
    return line.size() + 2 * headBytes;
  }

  /** Whether no part of another message has arrived. */
  public boolean betweenMessages() {
    return state == State.HEAD && startLine == null && line.size() == 0;
  }

  /**
   * The connection was closed, which ends a body that has no other delimiter; any other message in
   * progress was cut short.
   */
  public void close() throws Malformed {
    if (state == State.TO_CLOSE) {
      end();
    } else if (state != State.HEAD || startLine != null || line.size() > 0) {
      throw new Malformed("the connection was closed within a message");
    }
  }

  private void bodyPart(ByteBuffer in) {
    int n = state == State.TO_CLOSE ? in.remaining() : (int) Math.min(remaining, in.remaining());
    var part = new byte[n];
    in.get(part);
    remaining -= state == State.TO_CLOSE ? 0 : n;
    handler.body(part);
    if (state == State.LENGTH && remaining == 0) {
      end();
    } else if (state == State.CHUNK && remaining == 0) {
      state = State.CHUNK_END;
    }
  }

  private void line(String text) throws Malformed {
    switch (state) {
      case HEAD -> {
        if (startLine == null) {
          startLine = text.isEmpty() ? null : text; // skips empty lines before a message
          headBytes = text.length();
        } else if (text.isEmpty()) {
          head();
        } else {
          countHeadLine(text);
          int colon = text.indexOf(':');
          if (colon <= 0) {
            throw new Malformed("a header line without a name");
          }
          headers.merge(
              text.substring(0, colon).strip().toLowerCase(Locale.ROOT),
              text.substring(colon + 1).strip(),
              (a, b) -> a + ", " + b);
        }
      }
      case CHUNK_SIZE -> {
        remaining = number(text.split(";", 2)[0].strip(), 16);
        state = remaining == 0 ? State.TRAILER : State.CHUNK;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new Malformed("a chunk is longer than its declared size");
        }
        state = State.CHUNK_SIZE;
      }
      case TRAILER -> {
        if (text.isEmpty()) {
          end();
        } else {
          countHeadLine(text);
        }
      }
      default -> throw new IllegalStateException(state.toString());
    }
  }

  private long number(String text, int radix) throws Malformed {
    try {
      long n = Long.parseLong(text, radix);
      if (n >= 0 && n <= maxBodyBytes) {
        return n;
      }
    } catch (NumberFormatException e) {
      // reported below
    }
    throw new Malformed("not a number, or too large: " + text);
  }

  private void head() throws Malformed {
    String[] words = startLine.split(" ", 3);
    if (words.length < (requests ? 3 : 2) || !words[requests ? 2 : 0].startsWith("HTTP/1.")) {
      throw new Malformed("not an HTTP/1 start line");
    }
    HttpHead head;
    if (requests) {
      head = new HttpHead.Request(words[0], words[1], headers);
    } else {
      status = (int) number(words[1], 10);
      head = new HttpHead.Response(status, words.length > 2 ? words[2] : "", headers);
    }
    String encoding = headers.get("transfer-encoding");
    String length = headers.get("content-length");
    if (encoding != null && length != null) {
      throw new Malformed("both Content-Length and Transfer-Encoding are present");
    }
    boolean chunked = encoding != null && encoding.toLowerCase(Locale.ROOT).endsWith("chunked");
    remaining = length != null ? number(length, 10) : 0;
    boolean none = !requests && (status / 100 == 1 || status == 204 || status == 304);
    handler.head(head);
    if (!none && chunked) {
      state = State.CHUNK_SIZE;
    } else if (!none && remaining > 0) {
      state = State.LENGTH;
    } else if (none || requests || length != null) {
      end();
    } else {
      state = State.TO_CLOSE;
    }
  }

  private void end() {
    state = State.HEAD;
    startLine = null;
    headLines = 0;
    headBytes = 0;
    headers = new LinkedHashMap<>();
    completedMessages++;
    handler.end();
  }
}
