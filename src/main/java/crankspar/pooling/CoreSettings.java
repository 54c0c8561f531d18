package crankspar.pooling;

import crankspar.Router;
import crankspar.Router.Freshness;
import crankspar.Router.Repeat;
import crankspar.Router.RequestClass;

/** The settings of the pooling front's core, which differ from those that the file gives. */
final class CoreSettings {
  private CoreSettings() {}

  /**
   * Session marks are carried by the requests, and no class for writes may be repeated by a key.
   */
  static Router.Settings of(Router.Settings given) {
    return new Router.Settings(
        given.seed(),
        given.zone(),
        given.zones(),
        given.instanceIndex(),
        given.instanceCount(),
        given.batchInterval(),
        given.watchDiscovery(),
        given.classes().stream().map(CoreSettings::withoutKey).toList(),
        given.laggingRead(),
        given.patience(),
        given.roleInList(),
        Router.SessionMarks.CARRIED,
        given.reportsPosition(),
        given.commitWaits(),
        given.positionEpoch(),
        given.reports(),
        given.guarantees(),
        given.limits(),
        given.prices());
  }

  /** A pooled statement has no key by which a database could know it again. */
  private static RequestClass withoutKey(RequestClass given) {
    if (given.repeat() != Repeat.KEYED || given.freshness() != Freshness.WRITE) {
      return given;
    }
    return new RequestClass(
        given.name(),
        given.targetLatency(),
        given.timeout(),
        given.value(),
        given.lateValueShare(),
        Repeat.UNSAFE,
        given.dedupScope(),
        given.keyTtl(),
        given.freshness(),
        given.stalenessBound());
  }
}
