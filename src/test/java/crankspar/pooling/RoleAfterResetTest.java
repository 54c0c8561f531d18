package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What RESET ALL leaves on a connection. */
class RoleAfterResetTest {
  /**
   * Guards against a role that RESET ALL leaves on the connection, and that the next client then
   * has.
   */
  @ParameterizedTest
  @ValueSource(strings = {"SET ROLE manager_7", "SET SESSION AUTHORIZATION manager_7"})
  void aRoleOutlivesResetAll(String set) {
    var server = new ServerState();
    var client = SessionState.of(java.util.Map.of("application_name", "a"));
    for (Sql.Statement s : Sql.split(set + "; RESET ALL")) {
      client.apply(s, "");
      server.onCompleted(s, "", StatementOptions.NONE);
    }
    String name = set.contains("ROLE") ? "role" : "session_authorization";
    assertThat(server.options()).containsEntry(name, "manager_7");
    assertThat(client.options()).containsEntry(name, "manager_7");
    var next = SessionState.of(java.util.Map.of());
    assertThat(StateDiff.query(server, next)).contains("RESET " + name);
  }
}
