import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/**
 * A toy league database that speaks REST, to try crankspar with: java example/ToyServer.java PORT primary|replica
 * It holds 200 made-up standings; nothing is replicated, and every toy says that it is up to date.
 */
public class ToyServer {
    private static final int ROWS = 200;
    private static final Map<String, String> CLAIMS = new ConcurrentHashMap<>();
    private static String role;

    public static void main(String[] args) throws IOException {
        role = args[1];
        HttpServer server = HttpServer.create(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0])), 50);
        server.setExecutor(Executors.newFixedThreadPool(8));
        server.createContext("/v1/load", x -> answer(x, 200, "{\"role\":\"" + role + "\",\"position\":"
                + System.currentTimeMillis() + "}"));
        server.createContext("/v1/groups/", ToyServer::groups);
        server.start();
        System.out.println("toy " + role + " at " + server.getAddress());
    }

    private static void groups(HttpExchange x) throws IOException {
        String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        System.out.println(x.getRequestMethod() + " " + x.getRequestURI() + " " + body);
        if (x.getRequestMethod().equals("POST")) {
            if (!role.equals("primary")) {
                answer(x, 421, "{}");         // no write is taken here, and nothing ran
                return;
            }
            String key = x.getRequestHeaders().getFirst("Idempotency-Key");
            answer(x, 200, CLAIMS.computeIfAbsent(key, k -> "{\"claim\":" + (CLAIMS.size() + 1) + "}"));
            return;
        }
        int limit = 50;
        int from = 0;
        String query = x.getRequestURI().getQuery();
        for (String part : query == null ? new String[0] : query.split("&")) {
            if (part.startsWith("limit=")) {
                limit = Integer.parseInt(part.substring(6));
            } else if (part.startsWith("after=row-")) {
                from = Integer.parseInt(part.substring(10));
            }
        }
        var items = new StringBuilder();
        int to = Math.min(ROWS, from + limit);
        for (int i = from; i < to; i++) {
            items.append(i > from ? "," : "").append("{\"rank\":").append(i + 1).append(",\"manager\":\"m")
                    .append(i * 7919 % 1000).append("\",\"points\":").append(ROWS - i).append(".50}");
        }
        answer(x, 200, "{\"items\":[" + items + "]" + (to < ROWS ? ",\"next\":\"row-" + to + "\"" : "") + "}");
    }

    private static void answer(HttpExchange x, int status, String body) throws IOException {
        x.getRequestBody().readAllBytes();
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.getResponseHeaders().set("Role", role);
        x.getResponseHeaders().set("Applied-Position", Long.toString(System.currentTimeMillis()));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }
}
