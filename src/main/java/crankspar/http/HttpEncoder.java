package crankspar.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Encodes HTTP/1.1 messages. A body is always sent with its Content-Length. */
public final class HttpEncoder {
  private HttpEncoder() {}

  public static byte[] request(
      String method, String target, Map<String, String> headers, byte[] body) {
    return message(method + " " + target + " HTTP/1.1", headers, body, body.length > 0);
  }

  public static byte[] response(int status, Map<String, String> headers, byte[] body) {
    return message("HTTP/1.1 " + status + " " + reason(status), headers, body, true);
  }

  private static byte[] message(
      String startLine, Map<String, String> headers, byte[] body, boolean withLength) {
    var text = new StringBuilder(startLine).append("\r\n");
    headers.forEach(
        (k, v) -> text.append(k).append(": ").append(v.replaceAll("[\r\n]", " ")).append("\r\n"));
    if (withLength) {
      text.append("Content-Length: ").append(body.length).append("\r\n");
    }
    byte[] head = text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    var message = new byte[head.length + body.length];
    System.arraycopy(head, 0, message, 0, head.length);
    System.arraycopy(body, 0, message, head.length, body.length);
    return message;
  }

  public static String reason(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 409 -> "Conflict";
      case 413 -> "Content Too Large";
      case 422 -> "Unprocessable Content";
      case 502 -> "Bad Gateway";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      default -> status < 400 ? "Done" : "Error";
    };
  }
}
