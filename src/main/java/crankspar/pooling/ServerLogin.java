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
    record GoesOn() implements Step {}

    /** The server is ready. */
    record Welcome() implements Step {}

    /** The server will not have it; {@code said} is what its client hears. */
    record Refused(Frame said, String why) implements Step {}
  }

  private static final Step GOES_ON = new Step.GoesOn();

  private int process;
  private int secret;

  int process() {
    return process;
  }

  int secret() {
    return secret;
  }

  static byte[] startup(ServerKey key) {
    Map<String, String> parameters = new LinkedHashMap<>();
    parameters.put("user", key.user());
    parameters.put("database", key.database());
    return Frame.startup(PROTOCOL_VERSION, parameters);
  }

  Step take(Frame f) throws Frame.Malformed {
    return switch (f.type()) {
      case 'R' -> authentication(f);
      case 'K' -> {
        Frame.Reader r = f.read();
        process = r.int32();
        secret = r.int32();
        yield GOES_ON;
      }
      case 'S', 'N', 'v' -> GOES_ON;
      case 'E' ->
          new Step.Refused(f, "not welcome: " + f.fields().get('C') + " " + f.fields().get('M'));
      case 'Z' -> new Step.Welcome();
      default -> throw new Frame.Malformed("message type " + f.type() + " before the welcome");
    };
  }

  private static Step authentication(Frame f) throws Frame.Malformed {
    if (f.read().int32() == 0) {
      return GOES_ON;
    }
    Frame said =
        Frame.error(
            "FATAL", "28000", "the server asks for a password, which is not carried yet", null);
    return new Step.Refused(said, "a password is asked for");
  }
}
