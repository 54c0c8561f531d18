package crankspar.http;

import java.util.Map;

/**
 * A start line and headers; names of headers are kept in lower case, repeated ones joined by
 * commas.
 */
public sealed interface HttpHead {
  Map<String, String> headers();

  default String header(String name) {
    return headers().get(name);
  }

  /** Whether the connection is of use after this message. */
  default boolean keepAlive() {
    String connection = header("connection");
    return connection == null || !connection.toLowerCase(java.util.Locale.ROOT).contains("close");
  }

  record Request(String method, String target, Map<String, String> headers) implements HttpHead {}

  record Response(int status, String reason, Map<String, String> headers) implements HttpHead {}
}
