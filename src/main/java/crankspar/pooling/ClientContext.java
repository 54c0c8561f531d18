package crankspar.pooling;

import crankspar.net.MemoryBudget;
import java.util.List;
import org.pcollections.PMap;

/** What the pooling front provides to its clients. */
interface ClientContext {
  Setup setup();

  /** The database that clients know by this name, or null. */
  Setup.Database database(String name);

  Route route();

  /** The ParameterStatus values for a new client with this key, or null until a server reports. */
  PMap<String, String> reported(ServerKey key);

  /** Waits for a place, then submits the request to the core; the client gets the answer. */
  void submit(Client client, OpeningBatch opening);

  /** Called when the client's request has its final answer. */
  void requestEnded(Client client);

  /** Withdraws the client's request, if any, and frees its place or its wait for one. */
  void withdraw(Client client);

  void closed(Client client);

  void cancel(int process, int secret);

  void cancel(Server server);

  /** Counts bytes held for all clients (negative: released); false if they exceed the limit. */
  boolean reserveBytes(int more);

  /** Refuses the client's request, which is not sent. */
  void refuse(Client client, String why);

  /** What all connections of this process hold. */
  MemoryBudget memory();

  boolean draining();

  /** Executes an admin console command; null if it is not one. */
  List<Frame> console(String sql);

  void count(String name);

  double now();

  /** The turns of long texts. */
  LongTexts longTexts();

  /** Runs work after so many ms. */
  void runAfter(double ms, Runnable work);

  /** Runs work after all pending socket events, so that disconnects and cancels are seen first. */
  void runLater(Runnable work);

  /** Like {@link #runLater}, behind all such work of others. */
  void runBehind(Runnable work);
}
