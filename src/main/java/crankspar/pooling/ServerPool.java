package crankspar.pooling;

import java.util.Set;

/** The pool that a server connection belongs to. */
interface ServerPool {
  /** The login is complete. */
  void connected(Server server);

  /** The connection became idle after use and can serve any client of its key. */
  void idle(Server server);

  /** The connection is closed. */
  void closed(Server server);

  /** The time of the event loop (ms). */
  double now();

  Setup.Limits limits();

  /** The kinds of pinning statements that are refused by configuration. */
  Set<Pins.Kind> refusedPins();

  void count(String name, long n);
}
