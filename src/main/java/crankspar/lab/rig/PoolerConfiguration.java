package crankspar.lab.rig;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The platform's configuration of one pooler of a rig.
 *
 * @param seed of its random draws
 * @param settings the settings object, as JSON
 */
record PoolerConfiguration(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    InetSocketAddress calls,
    InetSocketAddress peerListen,
    List<InetSocketAddress> peers,
    long seed,
    String settings) {
  private static final String LIMITS = "{\"cores\": 1, \"memory_mb\": 192, \"sockets\": 1024}";

  String json() {
    return "{\"name\": \""
        + name
        + "\", \"listen\": "
        + quoted(listen)
        + ", \"discovery\": "
        + quoted(discovery)
        + ", \"seed\": \""
        + Long.toHexString(seed)
        + "\", \"limits\": "
        + LIMITS
        + ", \"mgmt\": "
        + quoted(calls)
        + ", \"peer_listen\": "
        + quoted(peerListen)
        + ", \"peers\": ["
        + peers.stream().map(PoolerConfiguration::quoted).collect(Collectors.joining(", "))
        + "], \"settings\": "
        + settings
        + "}";
  }

  private static String quoted(InetSocketAddress address) {
    return "\"" + Rig.text(address) + "\"";
  }
}
