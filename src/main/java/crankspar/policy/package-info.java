/**
 * The routing policy: which member a request is sent to and when, whether it is repeated, and what
 * is refused. No other package decides this.
 *
 * <p>{@link crankspar.policy.RequestRouter} receives events through {@link crankspar.Router} and
 * acts through {@link crankspar.Router.Actions}; it uses no network, clock or thread. Its classes
 * form one inheritance chain, each using only those below it: state ({@code RoutingState}), load
 * limits and slow start ({@code LoadLimits}), primary tracking ({@code Primary}), replica freshness
 * ({@code Positions}), read routing ({@code Reads}), outcomes ({@code Outcomes}), and queues,
 * retries and final answers ({@code RequestRouter}). A request arrives in {@code onRequest}, waits
 * in its group's queue, gets a member from {@code chooseMember}, passes the checks in {@code send},
 * and ends once, in {@code finish}.
 *
 * <p>For the reasons for inheritance over composition here, see docs/decisions.md.
 */
package crankspar.policy;
