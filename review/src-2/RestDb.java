import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** A stand-in for league databases that speak REST; it prints what is asked of each of them. */
public final class RestDb {
  private static final int WORK_MS = 20;

  private RestDb() {}

  /** The first port is the primary's, the others are replicas'. */
  public static void main(String[] ports) throws IOException {
    for (int i = 0; i < ports.length; i++) {
      String name = "db-" + (i + 1);
      String role = i == 0 ? "primary" : "replica";
      var address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(ports[i]));
      HttpServer server = HttpServer.create(address, 50);
      server.setExecutor(Executors.newFixedThreadPool(8));
      server.createContext("/v1/load", x -> answer(x, role, load(role)));
      server.createContext("/v1/groups/", x -> page(x, name, role));
      server.start();
    }
    System.out.println("serves");
  }

  private static String load(String role) {
    return "{\"role\":\"" + role + "\",\"position\":" + System.currentTimeMillis() + "}";
  }

  private static void page(HttpExchange x, String name, String role) throws IOException {
    String asked = x.getRequestMethod() + " " + x.getRequestURI();
    System.out.println(System.currentTimeMillis() + " " + name + " " + asked);
    try {
      Thread.sleep(WORK_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    answer(x, role, "{\"items\":[{\"rank\":1,\"manager\":\"m7\"}]}");
  }

  private static void answer(HttpExchange x, String role, String body) throws IOException {
    x.getRequestBody().readAllBytes();
    x.getResponseHeaders().set("Content-Type", "application/json");
    x.getResponseHeaders().set("Role", role);
    x.getResponseHeaders().set("Applied-Position", Long.toString(System.currentTimeMillis()));
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    x.sendResponseHeaders(200, bytes.length);
    x.getResponseBody().write(bytes);
    x.close();
  }
}
