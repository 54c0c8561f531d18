package crankspar.pooling;

import java.util.LinkedHashMap;
import java.util.Map;

/** The login on a server connection, up to the first ReadyForQuery; it receives the cancel key. */
final class ServerLogin {
  /** Protocol version 3.0, as encoded in a startup message. */
  private static final int PROTOCOL_VERSION = 3 << 16;

  /** The result of one server message during login. */
  sealed interface Step {
    /** The login continues. */
    record Continue() implements Step {}

    /** The login is complete. */
    record Ready() implements Step {}

    /** The login failed; {@code error} is sent to the client. */
    record Refused(Frame error, String reason) implements Step {}
  }

  private static final Step CONTINUE = new Step.Continue();

  private int processId;
  private int secretKey;

  int processId() {
    return processId;
  }

  int secretKey() {
    return secretKey;
  }

  static byte[] startup(ServerKey key) {
    Map<String, String> parameters = new LinkedHashMap<>();
    parameters.put("user", key.user());
    parameters.put("database", key.database());
    return Frame.startup(PROTOCOL_VERSION, parameters);
  }

  Step onMessage(Frame f) throws Frame.Malformed {
    return switch (f.type()) {
      case 'R' -> authentication(f);
      case 'K' -> {
        Frame.Reader r = f.read();
        processId = r.int32();
        secretKey = r.int32();
        yield CONTINUE;
      }
      case 'S', 'N', 'v' -> CONTINUE;
      case 'E' ->
          new Step.Refused(f, "login refused: " + f.fields().get('C') + " " + f.fields().get('M'));
      case 'Z' -> new Step.Ready();
      default -> throw new Frame.Malformed("message type " + f.type() + " during login");
    };
  }

  private static Step authentication(Frame f) throws Frame.Malformed {
    if (f.read().int32() == 0) {
      return CONTINUE;
    }
    Frame error =
        Frame.error(
            "FATAL",
            "28000",
            "the server requires password authentication, which the pooler does not support",
            null);
    return new Step.Refused(error, "password authentication required");
  }
}
