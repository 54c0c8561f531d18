package crankspar.daemon;

import crankspar.Router;
import crankspar.core.Front;
import crankspar.core.Pooler;
import crankspar.discovery.Watch;
import java.net.InetSocketAddress;

/**
 * A front that stands, with its core and its members; the watch is null where its list is fixed.
 */
record Served(
    String name,
    Front front,
    Pooler<?, ?> core,
    Directory members,
    Watch watch,
    Router.Settings settings,
    InetSocketAddress address) {}
