package crankspar.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses {@code host:port} with a literal IP address. DNS is never queried, as the platform has
 * none.
 */
public final class Addresses {
  private Addresses() {}

  /** Returns the address; the message of an IllegalArgumentException says what is wrong. */
  public static InetSocketAddress parse(String text) {
    int colon = text == null ? -1 : text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
    String host = text.substring(0, colon).replaceAll("^\\[|]$", "");
    if (!host.matches("[0-9.]+|[0-9a-fA-F:]+")) {
      throw new IllegalArgumentException("not a literal address: " + text);
    }
    try {
      return new InetSocketAddress(
          InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
    } catch (UnknownHostException | IllegalArgumentException e) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
  }
}
