package crankspar.pooling;

import java.util.LinkedHashMap;
import java.util.Map;

/** A server connection's start, up to the first ReadyForQuery; its cancel key is learnt here. */
final class ServerLogin {
  /** Version 3.0 of the protocol, as a startup message gives it. */
  private static final int PROTOCOL_VERSION = 3 << 16;

  /** What a message of the server's means for the start. */
  sealed interface Step {
    /** It goes on. */
    record Continue() implements Step {}

    /** The server is ready. */
    record Ready() implements Step {}

    /** The server will not have it; {@code said} is what its client hears. */
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
          new Step.Refused(f, "not welcome: " + f.fields().get('C') + " " + f.fields().get('M'));
      case 'Z' -> new Step.Ready();
      default -> throw new Frame.Malformed("message type " + f.type() + " before the welcome");
    };
  }

  private static Step authentication(Frame f) throws Frame.Malformed {
    if (f.read().int32() == 0) {
      return CONTINUE;
    }
    Frame error =
        Frame.error(
            "FATAL", "28000", "the server asks for a password, which is not carried yet", null);
    return new Step.Refused(error, "a password is asked for");
  }
}
