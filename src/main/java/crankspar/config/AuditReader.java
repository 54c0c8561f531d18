package crankspar.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** Reads {@code audit} of the operator's file. */
final class AuditReader {
  private AuditReader() {}

  static Operator.Audit read(Section a, Operator.Membership membership) throws Config.Bad {
    if (a == null) {
      return null;
    }
    InetSocketAddress listen = a.addressOrNull("listen");
    List<InetSocketAddress> peers = a.addresses("peers");
    int me = a.count("number", 0, 0, Operator.Audit.POOLERS_MOST - 1);
    if (listen == null && membership != null) {
      throw a.bad(
          "listen",
          "not set, and with membership nobody listens at the platform's port for the audit; allowed is a literal address and port");
    }
    if (listen != null && (peers.isEmpty() || peers.size() > Operator.Audit.POOLERS_MOST)) {
      throw a.bad(
          "peers",
          "found "
              + peers.size()
              + ", allowed are 1 to "
              + Operator.Audit.POOLERS_MOST
              + " addresses, this pooler's own among them");
    }
    if (listen != null && me >= peers.size()) {
      throw a.bad("number", "found " + me + ", allowed is this pooler's place in peers, from 0");
    }
    String folder = a.text("folder", null);
    var setup =
        new Operator.Audit(
            listen,
            peers,
            me,
            folder == null ? null : Path.of(folder),
            a.flag("stragglers", true),
            a.millis("lease", Operator.Audit.LEASE, 1000, 60_000),
            a.number("share", Operator.Audit.SHARE, 0, 1));
    a.done();
    return setup;
  }
}
