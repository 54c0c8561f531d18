package crankspar.lab.load;

import crankspar.lab.load.Recorder.Outcome;
import java.util.function.BiConsumer;

/** One connection of a generator; it carries a request at a time. */
interface LoadClient {
  /** Whether its connection is no more. */
  boolean gone();

  /**
   * Sends a request. It left at {@code left} and must see what was committed by {@code mustSee}
   * (both ms); {@code told} hears once what came of it, with the value of a read.
   */
  void ask(Asked asked, double left, double mustSee, BiConsumer<Outcome, String> told);

  void close();
}
