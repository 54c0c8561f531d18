package crankspar.pooling;

import java.util.Set;

/** The pool that a server connection belongs to. */
interface ServerPool {
  /** It has been welcomed. */
  void up(Server server);

  /** Anybody may have it. */
  void free(Server server);

  /** It is closed. */
  void gone(Server server);

  /** The loop's time (ms). */
  double now();

  Setup.Limits limits();

  /** What operators refuse. */
  Set<Pins.Kind> refused();

  void count(String name, long n);
}
