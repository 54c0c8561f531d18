package crankspar.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * HTTP/1.1 messages out of bytes, however they were cut: heads, then bodies as they come, chunked
 * or not.
 */
public final class HttpParser {
  /** What comes out. */
  public interface Handler {
    void head(HttpHead head);

    void body(byte[] part);

    void end();
  }

  /** Bytes that are no HTTP, or too many of them. */
  public static final class Malformed extends Exception {
    Malformed(String message) {
      super(message);
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

  private static final int LINE_MOST = 8 * 1024;
  private static final int HEADERS_MOST = 100;

  private final Handler handler;
  private final boolean requests;
  private final long bodyMost;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
  private State state = State.HEAD;
  private String start;
  private Map<String, String> headers = new LinkedHashMap<>();
  private long left;
  private int status;
  private int messages;

  public HttpParser(boolean requests, long bodyMost, Handler handler) {
    this.requests = requests;
    this.bodyMost = bodyMost;
    this.handler = handler;
  }

  public void feed(ByteBuffer in) throws Malformed {
    while (in.hasRemaining()) {
      feedMessage(in);
    }
  }

  /** Feeds to the end of one message at most: what follows stays in the buffer. */
  public void feedMessage(ByteBuffer in) throws Malformed {
    messages = 0;
    while (in.hasRemaining() && messages == 0) {
      switch (state) {
        case LENGTH, CHUNK, TO_CLOSE -> bodyPart(in);
        default -> {
          byte b = in.get();
          if (b != '\n') {
            line.write(b);
            if (line.size() > LINE_MOST) {
              throw new Malformed("a line of more than " + LINE_MOST + " bytes");
            }
          } else {
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
          }
        }
      }
    }
  }

  /** Whether no part of a next message has come. */
  public boolean betweenMessages() {
    return state == State.HEAD && start == null && line.size() == 0;
  }

  /** The connection has ended: the end of a body that has no other, or of a message cut short. */
  public void close() throws Malformed {
    if (state == State.TO_CLOSE) {
      end();
    } else if (state != State.HEAD || start != null || line.size() > 0) {
      throw new Malformed("the message was cut short");
    }
  }

  private void bodyPart(ByteBuffer in) {
    int n = state == State.TO_CLOSE ? in.remaining() : (int) Math.min(left, in.remaining());
    var part = new byte[n];
    in.get(part);
    left -= state == State.TO_CLOSE ? 0 : n;
    handler.body(part);
    if (state == State.LENGTH && left == 0) {
      end();
    } else if (state == State.CHUNK && left == 0) {
      state = State.CHUNK_END;
    }
  }

  private void line(String text) throws Malformed {
    switch (state) {
      case HEAD -> {
        if (start == null) {
          start = text.isEmpty() ? null : text; // an empty line before a message is passed over
        } else if (text.isEmpty()) {
          head();
        } else {
          int colon = text.indexOf(':');
          if (colon <= 0 || headers.size() >= HEADERS_MOST) {
            throw new Malformed("a header that is none, or too many of them");
          }
          headers.merge(
              text.substring(0, colon).strip().toLowerCase(Locale.ROOT),
              text.substring(colon + 1).strip(),
              (a, b) -> a + ", " + b);
        }
      }
      case CHUNK_SIZE -> {
        left = number(text.split(";", 2)[0].strip(), 16);
        state = left == 0 ? State.TRAILER : State.CHUNK;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new Malformed("a chunk is longer than it says");
        }
        state = State.CHUNK_SIZE;
      }
      case TRAILER -> {
        if (text.isEmpty()) {
          end();
        }
      }
      default -> throw new IllegalStateException(state.toString());
    }
  }

  private long number(String text, int radix) throws Malformed {
    try {
      long n = Long.parseLong(text, radix);
      if (n >= 0 && n <= bodyMost) {
        return n;
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw new Malformed("no length, or too much: " + text);
  }

  private void head() throws Malformed {
    String[] words = start.split(" ", 3);
    if (words.length < (requests ? 3 : 2) || !words[requests ? 2 : 0].startsWith("HTTP/1.")) {
      throw new Malformed("no HTTP/1 start line");
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
      throw new Malformed("both a length and a transfer encoding");
    }
    boolean chunked = encoding != null && encoding.toLowerCase(Locale.ROOT).endsWith("chunked");
    left = length != null ? number(length, 10) : 0;
    boolean none = !requests && (status / 100 == 1 || status == 204 || status == 304);
    handler.head(head);
    if (!none && chunked) {
      state = State.CHUNK_SIZE;
    } else if (!none && left > 0) {
      state = State.LENGTH;
    } else if (none || requests || length != null) {
      end();
    } else {
      state = State.TO_CLOSE;
    }
  }

  private void end() {
    state = State.HEAD;
    start = null;
    headers = new LinkedHashMap<>();
    messages++;
    handler.end();
  }
}
