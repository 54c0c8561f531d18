package crankspar.pooling;

import crankspar.net.MemoryBudget;
import crankspar.net.MemoryBudget.Use;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.pcollections.PMap;

/**
 * Accounts for what idle server connections hold of the sessions that they have served, against the
 * memory that all peers of this process may hold. A statement that several connections have is one
 * object: each connection accounts for its part of it. Confined to the event loop; O(statements of
 * a connection) where these have changed, else O(1).
 */
final class ServerMemory {
  /** What one connection was found to hold when it last became idle. */
  private static final class Holding {
    MemoryBudget.Share share;
    List<Prepared> statements = List.of();
    long statementBytes;
    long textBytes;
    long revision = -1;
    PMap<String, String> options;
    PMap<String, SqlPrepared> sqlPrepared;
  }

  private final MemoryBudget budget;

  /** Closes a connection, if it is idle, as its memory is needed. */
  private final Consumer<Server> close;

  private final Map<Server, Holding> holdings = new HashMap<>();
  private final Map<Prepared, Integer> holders = new HashMap<>();

  ServerMemory(MemoryBudget budget, Consumer<Server> close) {
    this.budget = budget;
    this.close = close;
  }

  /** Whether there is room for what a connection holds that becomes idle. */
  boolean idle(Server server) {
    Holding holding = holdings.computeIfAbsent(server, s -> new Holding());
    if (holding.share == null) {
      holding.share = budget.open(() -> shed(server, holding));
    }
    ServerState state = server.sessionState();
    if (state.revision() != holding.revision) {
      countStatements(holding, state);
    }
    if (state.options() != holding.options || state.sqlPrepared() != holding.sqlPrepared) {
      countTexts(holding, state);
    }
    Prepared unnamed = state.unnamed();
    long bytes =
        holding.statementBytes + holding.textBytes + (unnamed == null ? 0 : unnamed.memoryBytes());
    return holding.share.set(Use.SERVER, bytes);
  }

  private void countStatements(Holding holding, ServerState state) {
    holding.statements.forEach(this::release);
    holding.statements = new ArrayList<>(state.statementsByName().values());
    holding.statementBytes = 0;
    for (Prepared statement : holding.statements) {
      int count = holders.merge(statement, 1, Integer::sum);
      holding.statementBytes += statement.memoryBytes() / count;
    }
    holding.revision = state.revision();
  }

  private void release(Prepared statement) {
    holders.computeIfPresent(statement, (key, count) -> count > 1 ? count - 1 : null);
  }

  private static void countTexts(Holding holding, ServerState state) {
    holding.options = state.options();
    holding.sqlPrepared = state.sqlPrepared();
    holding.textBytes = 0;
    holding.options.forEach((name, value) -> holding.textBytes += name.length() + value.length());
    holding.sqlPrepared.values().forEach(s -> holding.textBytes += s.memoryBytes());
  }

  private void shed(Server server, Holding holding) {
    holding.share = null; // it is closed: the next time in this state gets another
    close.accept(server);
  }

  /** The connection is closed. */
  void closed(Server server) {
    Holding holding = holdings.remove(server);
    if (holding != null) {
      holding.statements.forEach(this::release);
      if (holding.share != null) {
        holding.share.close();
      }
    }
  }
}
