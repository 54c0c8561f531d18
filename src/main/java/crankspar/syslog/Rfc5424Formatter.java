package crankspar.syslog;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/** A log record as one syslog message, RFC 5424. */
public final class Rfc5424Formatter extends Formatter {
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSSSS'Z'");

  /** Longer messages are cut: every receiver takes 2,048 octets, many no more than 8 KiB. */
  private static final int TEXT_MOST = 4096;

  private final int facility;
  private final String enterprise;
  private final String host;
  private final String app;
  private final String process;

  public Rfc5424Formatter(
      int facility, String enterprise, String host, String app, String process) {
    this.facility = facility;
    this.enterprise = enterprise;
    this.host = word(host, 255);
    this.app = word(app, 48);
    this.process = word(process, 128);
  }

  @Override
  public String format(LogRecord r) {
    var text = new StringBuilder(256);
    text.append('<')
        .append(facility * 8 + severity(r.getLevel()))
        .append(">1 ")
        .append(TIME.format(r.getInstant().atOffset(ZoneOffset.UTC)))
        .append(' ')
        .append(host)
        .append(' ')
        .append(app)
        .append(' ')
        .append(process)
        .append(' ')
        .append(word(messageId(r), 32))
        .append(' ');
    int empty = text.length();
    for (Object parameter : r.getParameters() == null ? new Object[0] : r.getParameters()) {
      if (parameter instanceof StructuredData d) {
        element(text, d);
      }
    }
    if (text.length() == empty) {
      text.append('-');
    }
    String message = message(r);
    if (!message.isEmpty()) {
      // A text beyond ASCII says that it is UTF-8 by its first character.
      text.append(' ')
          .append(message.chars().allMatch(c -> c < 128) ? "" : "\uFEFF")
          .append(message);
    }
    return text.toString();
  }

  private String message(LogRecord r) {
    String message = formatMessage(r);
    if (r.getThrown() != null) {
      message += ": " + r.getThrown();
      StackTraceElement[] at = r.getThrown().getStackTrace();
      message += at.length > 0 ? " at " + at[0] : "";
    }
    message = message.replaceAll("\\p{Cntrl}", " ");
    return message.length() > TEXT_MOST ? message.substring(0, TEXT_MOST) : message;
  }

  /** The class that speaks names the kind of message. */
  private static String messageId(LogRecord r) {
    String name = r.getLoggerName() == null ? "" : r.getLoggerName();
    return name.substring(name.lastIndexOf('.') + 1);
  }

  static int severity(Level level) {
    int value = level.intValue();
    return value >= Level.SEVERE.intValue()
        ? 3
        : value >= Level.WARNING.intValue() ? 4 : value >= Level.INFO.intValue() ? 6 : 7;
  }

  private void element(StringBuilder text, StructuredData d) {
    text.append('[').append(name(d.id() + "@" + enterprise));
    for (Map.Entry<String, String> e : d.values().entrySet()) {
      text.append(' ').append(name(e.getKey())).append("=\"");
      String value = e.getValue();
      for (int i = 0; i < value.length(); i++) {
        char c = value.charAt(i);
        if (c == '"' || c == '\\' || c == ']') {
          text.append('\\');
        }
        text.append(c < 32 ? ' ' : c);
      }
      text.append('"');
    }
    text.append(']');
  }

  /** A header's word: printable ASCII, or the nil value. */
  private static String word(String text, int most) {
    String clean = text == null ? "" : text.replaceAll("[^!-~]", "?");
    return clean.isEmpty() ? "-" : clean.length() > most ? clean.substring(0, most) : clean;
  }

  /** An SD-NAME: besides, none of {@code = ] "}. */
  private static String name(String text) {
    return word(text.replaceAll("[=\\]\"]", "_"), 32);
  }
}
