package crankspar.lab.load;

import crankspar.net.EventLoop;
import java.util.function.Consumer;

/** Opens connections of one protocol. */
interface Dialect {
  /** {@code ready} hears of the connection once it may be used, or is gone; on the loop. */
  void connect(EventLoop loop, Consumer<LoadClient> ready);
}
