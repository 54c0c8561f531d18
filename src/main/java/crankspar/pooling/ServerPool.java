package crankspar.pooling;

import java.util.Set;

/** The pool that a server connection belongs to. */
interface ServerPool {
  /** It has been welcomed. */
  void connected(Server server);

  /** Anybody may have it. */
  void idle(Server server);

  /** It is closed. */
  void closed(Server server);

  /** The loop's time (ms). */
  double now();

  Setup.Limits limits();

  /** What operators refuse. */
  Set<Pins.Kind> refusedPins();

  void count(String name, long n);
}
