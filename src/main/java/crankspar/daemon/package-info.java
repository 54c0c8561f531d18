/**
 * The running pooler. It puts the parts together and takes them apart; what becomes of a request is
 * decided in {@code policy}, what a connection does in the fronts.
 *
 * <p>{@link crankspar.daemon.Daemon} is what others see of it. {@code Assembly} builds the parts in
 * their order, all fronts by one way ({@code Fronts}); {@code GracefulShutdown} ends in order, for
 * good or until an operator says otherwise; {@code Reload} takes over files that were read anew;
 * {@code OperatorCalls} answers operators. {@code Directory} lays drain overrides over the
 * discovery list for one front, {@code InstanceLock} knows whether another process of this pooler
 * serves, {@code Peering} has the ways to other poolers and {@code Auditing} the audit, where that
 * is set.
 */
package crankspar.daemon;
