/**
 * The list of members and how it is followed.
 *
 * <p>It owns the list's form ({@link crankspar.discovery.MemberList}) and one connection or a few
 * to discovery ({@link crankspar.discovery.Watch}). {@link crankspar.discovery.DiscoveryClient}
 * decides when a call is made, made again or given up, and knows no socket, clock or chance; {@link
 * crankspar.discovery.Objects} cuts what comes into lists, however they are laid out. What a list
 * means for a request is never decided here: it goes to the module as it came.
 *
 * <p>There are two ways, by the settings. Where lists are <i>asked</i> for, discovery is one
 * service for all: the module says when to call, and only a watch that fell silent is followed up
 * without it. Where they are <i>pushed</i>, the address is an agent's on the pooler's own machine,
 * whose knowledge counts as told whether or not anybody listens: a call stands at all times from
 * the start on, and before its first word nothing is known.
 */
package crankspar.discovery;
