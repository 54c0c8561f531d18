package crankspar.pooling;

import crankspar.Router.Role;
import java.util.Set;
import java.util.regex.Pattern;

/** What a server has told of itself in parameters that are for the pooler, not for its clients. */
final class ReportedStatus {
  /** The parameters' names; clients do not hear of them. */
  static final Set<String> PARAMETERS = Set.of("role", "applied_ms", "load", "in_hot_standby");

  private static final Pattern PLAIN_NUMBER = Pattern.compile("[0-9]{1,16}(\\.[0-9]{0,6})?");

  private Role role = Role.UNKNOWN;
  private double position = Double.NaN;

  /**
   * Takes a parameter that the server reports; one of a session's goes to {@code sessionState}, or
   * nowhere where that is null.
   */
  void read(Frame f, ServerState sessionState) throws Frame.Malformed {
    Frame.Reader r = f.read();
    String name = r.text();
    String value = r.text();
    read(name, value);
    if (sessionState != null && !PARAMETERS.contains(name)) {
      sessionState.setReported(name, value);
    }
  }

  /** Other parameters change nothing. */
  void read(String name, String value) {
    switch (name) {
      case "role" -> role = role(value);
      case "in_hot_standby" -> role = value.equals("on") ? Role.REPLICA : Role.PRIMARY;
      case "applied_ms" ->
          position = PLAIN_NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
      default -> {}
    }
  }

  private static Role role(String value) {
    return switch (value) {
      case "primary" -> Role.PRIMARY;
      case "replica" -> Role.REPLICA;
      default -> Role.UNKNOWN;
    };
  }

  Role role() {
    return role;
  }

  /** Unix ms, or NaN where none has been told. */
  double position() {
    return position;
  }
}
