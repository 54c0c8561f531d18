package crankspar.net;

import java.net.InetSocketAddress;

/** What holds connections to members, and is told where they are. */
public interface Addressed {
  /** Where a member listens; a new address makes its old connections useless. */
  void locate(String id, InetSocketAddress address);

  /** A member that drains or is gone: nothing new goes there, and idle connections are closed. */
  void forget(String id);
}
