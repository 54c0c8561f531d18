package crankspar.lab.rig;

import crankspar.lab.LoopbackPorts;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * A loopback address of its own for each party of a rig, and of this process alone: poolers share
 * ports, so that two rigs with the same address could share clients.
 */
final class PartyAddresses {
  /** Networks of each of the two bytes that follow from the process's id. */
  private static final int NETWORKS = 250;

  private static final int FIRST_PARTY = 10;

  private PartyAddresses() {}

  static InetSocketAddress anyPort(int party) throws IOException {
    return new InetSocketAddress(host(party), 0);
  }

  /** For a process that is told its port before it starts. */
  static InetSocketAddress freePort(int party) throws IOException {
    return LoopbackPorts.free(host(party));
  }

  private static InetAddress host(int party) throws IOException {
    long process = ProcessHandle.current().pid();
    long second = 1 + process / NETWORKS % NETWORKS;
    long third = 1 + process % NETWORKS;
    return InetAddress.getByName("127." + second + "." + third + "." + (FIRST_PARTY + party));
  }
}
