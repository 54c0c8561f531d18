/**
 * Clients that send or hold more than a pooler can bear, as processes of their own, beside clients
 * that behave and are measured. {@link crankspar.lab.hostile.HostileRun} puts them before one
 * pooler, or before the two of an upgrade, as the deploy file starts it; {@link
 * crankspar.lab.hostile.HostileKind} lists what hostile clients do. All sockets are on loopback,
 * all loops are bounded in count and time.
 */
package crankspar.lab.hostile;
