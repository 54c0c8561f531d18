package crankspar.lab.hostile;

import crankspar.http.HttpEncoder;
import crankspar.http.HttpHead;
import crankspar.http.HttpParser;
import crankspar.net.Connection;
import crankspar.net.ConnectionHandler;
import crankspar.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A stand-in for a server that speaks REST and answers each call after a fixed time. */
public final class PacedRestServer {
  private static final int BODY_MOST = 1 << 20;
  private static final String LOAD_PATH = "/v1/load";

  private final EventLoop loop;
  private final String role;
  private final double workMs;
  private final Runnable asked;
  private final InetSocketAddress address;

  PacedRestServer(EventLoop loop, boolean primary, double workMs) throws IOException {
    this(loop, primary, workMs, () -> {});
  }

  /** Runs {@code asked} for each request that is not a question for its load. */
  public PacedRestServer(EventLoop loop, boolean primary, double workMs, Runnable asked)
      throws IOException {
    this.loop = loop;
    this.asked = asked;
    this.role = primary ? "primary" : "replica";
    this.workMs = workMs;
    address = loop.listen(new InetSocketAddress("127.0.0.1", 0), Session::new).address();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return address;
  }

  private final class Session implements ConnectionHandler, HttpParser.Handler {
    private final HttpParser parser = new HttpParser(true, BODY_MOST, this);
    private Connection out;
    private String body;

    @Override
    public void opened(Connection connection) {
      out = connection;
    }

    @Override
    public void received(ByteBuffer in) {
      try {
        parser.feed(in);
      } catch (HttpParser.Malformed e) {
        out.close();
      }
    }

    @Override
    public void head(HttpHead head) {
      var request = (HttpHead.Request) head;
      if (!request.target().startsWith(LOAD_PATH)) {
        asked.run();
      }
      body =
          request.method().equals("POST")
              ? "{\"claim\":1}"
              : request.target().startsWith(LOAD_PATH)
                  ? "{\"role\":\"" + role + "\",\"position\":" + System.currentTimeMillis() + "}"
                  : "{\"items\":[1]}";
    }

    @Override
    public void body(byte[] part) {}

    @Override
    public void end() {
      byte[] answer =
          HttpEncoder.response(
              200,
              Map.of(
                  "Content-Type",
                  "application/json",
                  "Role",
                  role,
                  "Applied-Position",
                  Long.toString(System.currentTimeMillis())),
              body.getBytes(StandardCharsets.US_ASCII));
      loop.after(workMs, () -> out.write(answer));
    }

    @Override
    public void ended(String why) {}
  }
}
