package crankspar.pooling;

import java.util.List;
import org.pcollections.PMap;

/** The front, as its clients see it. */
interface ClientContext {
  Setup setup();

  /** A database by its name for clients, or null. */
  Setup.Database database(String name);

  Route route();

  /** What a client with this key is told at its start, or null while no server has said it. */
  PMap<String, String> reported(ServerKey key);

  /** Asks for a place and then the module; the answer comes to the client. */
  void submit(Client client, OpeningBatch opening);

  /** Nothing more is owed to it. */
  void requestEnded(Client client);

  void withdraw(Client client);

  void closed(Client client);

  void cancel(int process, int secret);

  void cancel(Server server);

  /** Whether all clients together may hold so many bytes more. */
  boolean reserveBytes(int more);

  boolean draining();

  /** Answers what operators ask on the console, or null where it is no such command. */
  List<Frame> console(String sql);

  void count(String name);

  double now();

  /** Runs work behind whatever the sockets hold now: ends and cancels come before it. */
  void runLater(Runnable work);
}
