package crankspar.daemon;

import crankspar.Router;
import crankspar.core.Ports;
import java.lang.management.ManagementFactory;
import java.util.List;

/**
 * What a request's whole path costs in memory, without sockets: for measurements that pair two ways
 * of it.
 */
public final class PathCost {
  /** For each request: processor time (ns) and bytes allocated. */
  public record Cost(double nanos, double bytes) {}

  private PathCost() {}

  /** Those that the path's requests go to. */
  public static List<Router.Member> members() {
    return Warmup.members(List.of("z"), 1);
  }

  /** {@code audit} may be null. */
  public static Cost of(Router.Settings settings, int requests, Ports.Audit audit) {
    var bean = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    long bytes = bean.getCurrentThreadAllocatedBytes();
    long nanos = bean.getCurrentThreadCpuTime();
    int served = new Warmup().run(settings, List.of(), Double.MAX_VALUE, requests, audit);
    if (served < requests) {
      throw new IllegalStateException(served + " of " + requests + " served");
    }
    return new Cost(
        (bean.getCurrentThreadCpuTime() - nanos) / (double) requests,
        (bean.getCurrentThreadAllocatedBytes() - bytes) / (double) requests);
  }
}
