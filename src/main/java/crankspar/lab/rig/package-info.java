/**
 * A rig for faults between processes: several poolers, each the built program as a process of its
 * own on a loopback address of its own, before stand-ins for discovery and league databases, and a
 * link between every two parties that can go wrong.
 *
 * <p>{@link crankspar.lab.rig.Link} is what goes wrong on the way, {@link
 * crankspar.lab.rig.DiscoveryStandIn} what goes wrong at discovery, {@link
 * crankspar.lab.rig.PlatformProcess} what is done to a process. Nothing here decides anything for a
 * pooler; nothing outside {@code lab} and the tests imports it.
 */
package crankspar.lab.rig;
