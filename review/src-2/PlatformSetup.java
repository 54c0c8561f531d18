import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A pooler as the platform starts it, before one shard, with a discovery that answers at once. */
record PlatformSetup(int port, Process process) {
  static PlatformSetup start(Rig rig, int members) throws Exception {
    int[] ports = new int[members];
    for (int i = 0; i < members; i++) {
      ports[i] = Rig.freePort();
    }
    String[] arguments = IntStream.of(ports).mapToObj(Integer::toString).toArray(String[]::new);
    Process shard = rig.standIn("shard", "LeagueDb", arguments);
    rig.await("shard", shard, "serves");
    String list = list(ports);
    int discovery = discovery(list);
    int port = Rig.freePort();
    String listen = "127.0.0.1:" + port;
    String config =
        """
        {"name":"n0","listen":"%s","discovery":"127.0.0.1:%d","seed":"5be2a07c9b1f03aa",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "known":%s,
         "settings":%s}
        """
            .formatted(
                listen,
                discovery,
                list,
                Files.readString(rig.root.resolve("review/src-2/settings.json")));
    Path file = rig.temporary.resolve("config.json");
    Files.writeString(file, config);
    Process pooler =
        rig.pooler(
            "pooler",
            "",
            Map.of(
                "BALANCER_NAME", "n0",
                "BALANCER_LISTEN", listen,
                "BALANCER_DISCOVERY", "127.0.0.1:" + discovery,
                "BALANCER_CONFIG", file.toString()));
    rig.await("pooler", pooler, "listens at");
    return new PlatformSetup(port, pooler);
  }

  private static String list(int[] ports) {
    return IntStream.range(0, ports.length)
        .mapToObj(
            i ->
                ("{\"id\":\"s-%d\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"east\","
                        + "\"flavor\":\"std\",\"cell\":1,\"phase\":\"up\",\"size\":1.0,"
                        + "\"up_since_ms\":0,\"role\":\"%s\"}")
                    .formatted(i + 1, ports[i], i == 0 ? "primary" : "replica"))
        .collect(
            Collectors.joining(",", "{\"revision\":1,\"complete\":true,\"members\":[", "]}"));
  }

  /** Answers each call with the whole list, and an empty line every 2 s for as long as it lasts. */
  private static int discovery(String list) throws IOException {
    var server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    var thread =
        new Thread(
            () -> {
              while (true) {
                try {
                  Socket socket = server.accept();
                  var watch = new Thread(() -> watch(socket, list));
                  watch.setDaemon(true);
                  watch.start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
    return server.getLocalPort();
  }

  private static void watch(Socket socket, String list) {
    try (socket) {
      var in = new java.io.BufferedReader(new java.io.InputStreamReader(socket.getInputStream()));
      String line = in.readLine();
      while (line != null && !line.isEmpty()) {
        line = in.readLine();
      }
      var out = socket.getOutputStream();
      String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      out.write((head + chunk(list + "\n")).getBytes(StandardCharsets.US_ASCII));
      while (true) {
        Thread.sleep(2_000);
        out.write(chunk("\n").getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException | InterruptedException e) {
      // its caller has gone
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}
