package crankspar.http;

import java.util.Map;

/**
 * The start line and headers of a message. Header names are kept in lower case; the values of
 * repeated headers are joined by commas.
 */
public sealed interface HttpHead {
  Map<String, String> headers();

  default String header(String name) {
    return headers().get(name);
  }

  /** The number of characters of its headers. */
  default int length() {
    int length = 0;
    for (Map.Entry<String, String> header : headers().entrySet()) {
      length += header.getKey().length() + header.getValue().length();
    }
    return length;
  }

  /** Whether the connection may be reused after this message. */
  default boolean keepAlive() {
    String connection = header("connection");
    return connection == null || !connection.toLowerCase(java.util.Locale.ROOT).contains("close");
  }

  record Request(String method, String target, Map<String, String> headers) implements HttpHead {}

  record Response(int status, String reason, Map<String, String> headers) implements HttpHead {}
}
