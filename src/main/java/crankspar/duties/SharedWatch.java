package crankspar.duties;

import crankspar.core.Ports;
import crankspar.discovery.Watch;

/**
 * Discovery watched by one for all: the holder of this duty keeps a watch and tells its revision
 * with every result; who hears of a newer one than its own asks discovery once. Who hears nothing
 * takes the duty over, as any other. So discovery has one watch instead of one for each pooler, and
 * a change costs each one call.
 */
public final class SharedWatch implements Ports.Discovery {
  /** The duty's name among the databases', which none of them may have. */
  public static final String ID = "/discovery";

  private final Watch watch;
  private boolean wanted, holding;

  public SharedWatch(Watch watch) {
    this.watch = watch;
  }

  /** The module wants to be told; it is at once told what there is. */
  @Override
  public void watch(boolean on) {
    wanted = on;
    if (!on) {
      watch.watch(false);
    } else if (holding) {
      watch.watch(true);
    } else {
      watch.ask();
    }
  }

  /** It is this instance's turn: whether the watch stands, which is what the others are told. */
  boolean hold() {
    if (!holding) {
      holding = true;
      if (wanted) {
        watch.watch(true);
      }
    }
    return watch.up();
  }

  long revision() {
    return watch.revision();
  }

  /** Another holds the duty, and discovery was at this revision there. */
  void heard(long revision) {
    if (holding) {
      holding = false;
      watch.watch(false);
    }
    if (wanted && revision > watch.revision()) {
      watch.ask();
    }
  }
}
