package crankspar.net;

import java.net.InetSocketAddress;

/** A component that holds connections to members, whose addresses come from discovery's list. */
public interface MemberAddresses {
  /** Sets a member's address; a new address makes its old connections useless. */
  void locate(String id, InetSocketAddress address);

  /**
   * A member drains or has been removed: no new work is sent to it, and its idle connections are
   * closed.
   */
  void forget(String id);
}
