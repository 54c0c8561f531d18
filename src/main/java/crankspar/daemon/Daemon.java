package crankspar.daemon;

import crankspar.config.Config;
import crankspar.config.Operator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * A pooler that serves: started when it is made, ended by {@link #stop} in order or by {@link
 * #close} at once.
 */
public final class Daemon implements AutoCloseable {
  final Assembly parts;

  /** Either may be null, not both: the platform's front needs the one, the REST front the other. */
  public Daemon(Config config, Operator operator)
      throws Config.Bad, IOException, InterruptedException {
    this(config, operator, null);
  }

  /**
   * {@code shared} is where processes of this pooler meet while one replaces the other; it may be
   * null.
   */
  public Daemon(Config config, Operator operator, Path shared)
      throws Config.Bad, IOException, InterruptedException {
    parts = new Assembly(config, operator, shared);
  }

  public InetSocketAddress pgAddress() {
    return parts.address(Fronts.PLATFORM);
  }

  public InetSocketAddress restAddress() {
    return parts.address(Fronts.REST);
  }

  public InetSocketAddress poolingAddress() {
    return parts.address(Fronts.POOLING);
  }

  public InetSocketAddress mgmtAddress() {
    return parts.mgmtAddress;
  }

  /** What operators ask of it; on the loop. */
  public crankspar.mgmt.Operations operations() {
    return parts.calls;
  }

  /** Takes over what has changed in files read anew; see {@link Reload}. */
  public void reload(Config config, Operator operator) {
    parts.loop.run(() -> Reload.take(parts, config, operator));
  }

  /** Ends in order; returns when the last answer is out, or what is owed has been given up. */
  public void stop() throws InterruptedException {
    stop(0);
  }

  /**
   * As {@link #stop()}, where the signal to end came {@code since} ms ago: the kill follows the
   * signal.
   */
  public void stop(double since) throws InterruptedException {
    parts.shutdown.stop(since);
  }

  /** Waits until an Error has ended the loop, so that nothing is served any more; returns it. */
  public Error awaitFailure() throws InterruptedException {
    return parts.loop.awaitFailure();
  }

  @Override
  public void close() {
    parts.close();
  }
}
