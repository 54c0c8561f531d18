package crankspar.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream of JSON objects, one after the other, each on a line or on many: it counts brackets
 * outside of strings. An empty line between two objects is a sign of life. An object of more than
 * {@link #MOST} bytes, and anything else between objects, is no list; what is within one is for the
 * reader to judge.
 */
final class Objects {
  /** The longest object (bytes): some 5,000 members. */
  static final int MOST = 1 << 20;

  interface Hearer {
    /** A whole object; false where nothing further is to be heard. */
    boolean object(String text);

    boolean emptyLine();

    void malformed(String why);
  }

  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private final Hearer hearer;
  private int depth;
  private boolean quoted, escaped, blank = true, over;

  Objects(Hearer hearer) {
    this.hearer = hearer;
  }

  void feed(byte[] part) {
    for (int i = 0; i < part.length && !over; i++) {
      if (depth == 0) {
        between(part[i]);
      } else {
        within(part[i]);
      }
    }
  }

  /** Whether an object has begun and is not whole. */
  boolean begun() {
    return depth > 0;
  }

  private void between(byte b) {
    if (b == '{') {
      depth = 1;
      held.write(b);
    } else if (b == '\n') {
      over = blank && !hearer.emptyLine();
      blank = true; // the end of an object's own line is none
    } else if (b != ' ' && b != '\t' && b != '\r') {
      end("no object where one is due");
    }
  }

  private void within(byte b) {
    held.write(b);
    if (escaped) {
      escaped = false;
    } else if (quoted) {
      escaped = b == '\\';
      quoted = b != '"';
    } else if (b == '"') {
      quoted = true;
    } else if (b == '{' || b == '[') {
      depth++;
    } else if (b == '}' || b == ']') {
      depth--;
    }
    if (depth == 0) {
      String text = held.toString(StandardCharsets.UTF_8);
      held.reset();
      blank = false;
      over = !hearer.object(text);
    } else if (held.size() > MOST) {
      end("a list of more than " + MOST + " bytes");
    }
  }

  private void end(String why) {
    over = true;
    held.reset();
    hearer.malformed(why);
  }
}
