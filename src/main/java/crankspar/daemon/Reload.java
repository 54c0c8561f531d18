package crankspar.daemon;

import crankspar.config.Config;
import crankspar.config.Operator;
import java.net.InetSocketAddress;

/**
 * What of files read anew is taken over while this pooler runs: where each front's discovery is,
 * and all of the pooling front's but its listener. Everything else of them holds from the next
 * start on. Clients, requests and the known members are not touched.
 */
final class Reload {
  private Reload() {}

  /** On the loop; either may be null. */
  static void take(Assembly parts, Config config, Operator operator) {
    parts.counters.add("reloads");
    move(parts, Fronts.PLATFORM, config == null ? null : config.discovery());
    move(
        parts,
        Fronts.REST,
        operator == null || operator.rest() == null ? null : operator.rest().discovery());
    if (parts.peering.shared() != null && operator != null && operator.membership() != null) {
      parts.peering.shared().keys(operator.membership().keys());
    }
    Operator.Pooling pools = operator == null ? null : operator.pooling();
    if (parts.pooling != null && pools != null) {
      parts.pooling.reload(pools.setup());
      move(parts, Fronts.POOLING, pools.discovery());
    }
    if (parts.auditing != null) {
      Served platform = parts.front(Fronts.PLATFORM);
      parts.auditing.reloaded(config, platform == null ? null : platform.watch());
    }
  }

  private static void move(Assembly parts, String front, InetSocketAddress discovery) {
    Served served = parts.front(front);
    if (served != null && served.watch() != null && discovery != null) {
      served.watch().moveTo(discovery);
    }
  }
}
