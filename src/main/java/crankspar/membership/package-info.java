/**
 * Which poolers are alive, as each of them sees it: SWIM with suspicion and incarnations over small
 * datagrams that may be lost and late, and Lifeguard's local health. {@link
 * crankspar.membership.Swim} decides, without sockets, clocks or chance of its own; {@link
 * crankspar.membership.Packet} is the wire; {@link crankspar.membership.Seal} proves who sent it;
 * {@link crankspar.membership.Datagrams} drives a socket. It never says who does what: that is
 * {@code duties}.
 */
package crankspar.membership;
