package crankspar.net;

import java.net.InetSocketAddress;

/** Holds connections to members; discovery's list says where they listen. */
public interface MemberAddresses {
  /** Where a member listens; a new address makes its old connections useless. */
  void locate(String id, InetSocketAddress address);

  /** A member that drains or is gone: nothing new goes there, and idle connections are closed. */
  void forget(String id);
}
