package crankspar.pooling;

import static org.assertj.core.api.Assertions.assertThat;

import crankspar.net.MemoryBudget;
import crankspar.net.MemoryBudget.Use;
import java.util.ArrayList;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The account of what idle server connections hold. */
class ServerMemoryTest {
  /** A pool that does nothing. */
  private static final class NoPool implements ServerPool {
    @Override
    public void connected(Server server) {}

    @Override
    public void idle(Server server) {}

    @Override
    public void closed(Server server) {}

    @Override
    public double now() {
      return 0;
    }

    @Override
    public Setup.Limits limits() {
      return Setup.Limits.DEFAULT;
    }

    @Override
    public Set<Pins.Kind> refusedPins() {
      return Set.of();
    }

    @Override
    public void count(String name, long n) {}
  }

  private final MemoryBudget budget = new MemoryBudget();
  private final ArrayList<Server> shed = new ArrayList<>();
  private final ServerMemory memory = new ServerMemory(budget, shed::add);

  private static Server server() {
    return new Server(new NoPool(), new ServerKey("db", "db", "u"), "m", 0);
  }

  private static Prepared statement(int number, int length) {
    return Prepared.of("SELECT " + number + " -- " + "x".repeat(length), new byte[2]);
  }

  @Test
  void aStatementOfSeveralConnectionsIsNotCountedForEachInFull() {
    int length = 100_000;
    int connections = 8;
    Prepared shared = statement(1, length);
    var servers = new ArrayList<Server>();
    for (int i = 0; i < connections; i++) {
      Server server = server();
      servers.add(server);
      server.sessionState().add(shared);
      assertThat(memory.idle(server)).isTrue();
    }
    assertThat(budget.held(Use.SERVER)).isBetween((long) length, 3L * length);
    servers.forEach(memory::closed);
    assertThat(budget.held(Use.SERVER)).isZero();
  }

  /** Guards against idle connections that hold more than the process may, each within its bound. */
  @Test
  void whatAllOfThemHoldStaysWithinTheBudget() {
    budget.limitMemory(192);
    for (int i = 0; i < 60; i++) {
      Server server = server();
      server.sessionState().add(statement(i, 500_000));
      server.sessionState().setUnnamed(statement(1000 + i, 300_000));
      if (!memory.idle(server)) {
        memory.closed(server); // it is closed
      }
      assertThat(budget.total()).isLessThanOrEqualTo(budget.limit());
    }
    assertThat(budget.refusals() + shed.size()).isGreaterThan(10);
  }

  @Test
  void whatAConnectionNoLongerHoldsIsGivenBack() {
    Server server = server();
    Prepared statement = statement(1, 200_000);
    server.sessionState().add(statement);
    memory.idle(server);
    long before = budget.held(Use.SERVER);
    server.sessionState().remove(statement);
    memory.idle(server);
    assertThat(before).isGreaterThan(200_000);
    assertThat(budget.held(Use.SERVER)).isZero();
  }
}
