package crankspar.daemon;

import crankspar.Router;
import crankspar.core.Front;
import crankspar.core.Pooler;
import crankspar.core.Ports;
import crankspar.discovery.MemberList;
import crankspar.discovery.Watch;
import crankspar.net.MemberAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * How a front is set up, whatever it speaks: its watch, its core, its members from the list to
 * start from, its listener.
 */
final class Fronts {
  private static final Logger LOG = Logger.getLogger(Fronts.class.getName());
  static final String PLATFORM = "pg";
  static final String REST = "rest";
  static final String POOLING = "pooling";

  /**
   * A successor waits so long (ms) for discovery's list, and then for the first probes' answers.
   */
  private static final double LIST_MOST = 1000;

  private static final double LOOK_ROUND = 300;

  /** What a front is made of, once it is known where its core hears of discovery. */
  record Made(Front front, Pooler<?, ?> core, MemberAddresses pool, Listening door) {}

  interface Listening {
    InetSocketAddress listen() throws IOException;
  }

  interface Making {
    Made make(Ports.Discovery discovery) throws IOException;
  }

  /**
   * What of a front is set, and how it is made.
   *
   * @param discovery null where the list is fixed
   * @param waits whether a process that replaces another listens only once it has the list
   */
  record Plan(
      String name,
      Router.Settings settings,
      InetSocketAddress discovery,
      MemberList known,
      boolean waits,
      Making making) {}

  private final Assembly parts;

  Fronts(Assembly parts) {
    this.parts = parts;
  }

  Served serve(Plan plan) throws IOException, InterruptedException {
    var members = new Directory[1];
    var listed = new CountDownLatch(1);
    Router.Settings settings = plan.settings();
    Watch watch =
        plan.discovery() == null
            ? null
            : new Watch(
                parts.loop,
                plan.discovery(),
                plan.known().revision(),
                parts.counters,
                Watch.Terms.of(settings),
                list -> {
                  members[0].listed(list);
                  listed.countDown();
                },
                () -> members[0].watchLost());
    Made made = plan.making().make(watch == null ? on -> {} : parts.watching(watch));
    parts.loop.runAndWait(
        () -> {
          made.core().log(parts.requestLog);
          members[0] =
              new Directory(
                  parts.loop,
                  settings.guarantees().rampTime(),
                  parts.store,
                  plan.name(),
                  made.pool(),
                  made.core());
          follow(watch, settings, members[0]);
          members[0].start(plan.known());
          if (watch == null) {
            members[0].listed(plan.known()); // a fixed list is the present one
          }
        });
    if (plan.waits() && parts.instanceLock.another()) {
      LOG.info("another process serves here: this one takes over once it has the list");
      listed.await((long) LIST_MOST, TimeUnit.MILLISECONDS);
      Thread.sleep((long) LOOK_ROUND);
    }
    return new Served(
        plan.name(), made.front(), made.core(), members[0], watch, settings, made.door().listen());
  }

  /**
   * Where lists are pushed nobody asks for a watch, and none may be missing; elsewhere the module
   * says when.
   */
  private static void follow(Watch watch, Router.Settings settings, Directory members) {
    if (watch != null && !settings.watchDiscovery()) {
      members.await();
      watch.onWord(members::word);
      watch.watch(true);
    }
  }
}
