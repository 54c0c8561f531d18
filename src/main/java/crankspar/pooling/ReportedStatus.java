package crankspar.pooling;

import crankspar.Router.Role;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.pcollections.PMap;

/**
 * Role and replication position of a server, as it reports them in parameters meant for the pooler.
 */
final class ReportedStatus {
  /** Names of these parameters; they are not forwarded to clients. */
  static final Set<String> PARAMETERS = Set.of("role", "applied_ms", "load", "in_hot_standby");

  private static final Pattern PLAIN_NUMBER = Pattern.compile("[0-9]{1,16}(\\.[0-9]{0,6})?");

  private Role role = Role.UNKNOWN;
  private double position = Double.NaN;

  /** Whether the position was reported since the transaction began. */
  private boolean positionIsCurrent;

  /**
   * Reads a ParameterStatus message. A parameter of the session, not of the pooler, is stored in
   * {@code sessionState} unless that is null.
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

  /** Reads one parameter; unknown names are ignored. */
  void read(String name, String value) {
    switch (name) {
      case "role" -> role = role(value);
      case "in_hot_standby" -> role = value.equals("on") ? Role.REPLICA : Role.PRIMARY;
      case "applied_ms" -> {
        position = PLAIN_NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
        positionIsCurrent = !Double.isNaN(position);
      }
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

  boolean isReplica() {
    return role == Role.REPLICA;
  }

  /** A transaction begins: what was reported before tells nothing of its commit. */
  void transactionBegins() {
    positionIsCurrent = false;
  }

  /**
   * The position (Unix ms) that a read has to see after the transaction's commit; the present where
   * the server has reported none for it.
   */
  double commitPosition(double now) {
    if (positionIsCurrent) {
      return position;
    }
    return Double.isNaN(position) ? now : Math.max(now, position);
  }

  /** The replication position (Unix ms), or NaN if the server has reported none. */
  double position() {
    return position;
  }

  /** Returns a ParameterStatus for each parameter that differs from what a client was told. */
  static List<Frame> changes(PMap<String, String> told, PMap<String, String> reported) {
    if (told == reported) {
      return List.of();
    }
    var changes = new ArrayList<Frame>(2);
    reported.forEach(
        (name, value) -> {
          if (!PARAMETERS.contains(name) && !value.equals(told.get(name))) {
            changes.add(Frame.parameter(name, value));
          }
        });
    return changes;
  }
}
