/**
 * What poolers tell each other of the databases' positions and roles, so that each knows soon what
 * any has learned.
 *
 * <p>{@link crankspar.gossip.GossipService} decides what to tell and when, and what of the told to
 * believe; it does no I/O, reads no clock, and is the same object in the daemon and in the
 * simulator's adapter. {@link crankspar.gossip.GossipMessage} is its message on the wire. {@link
 * crankspar.gossip.GossipReceiver} stands before the decision module as a {@link crankspar.Router}:
 * it reads positions off the outcomes that pass through it and hands over what peers told as one
 * event. Nothing here chooses a database: the module alone decides, and only among members that its
 * own list has named.
 *
 * <p>Rests on one property of positions: a database never goes back, so a position stays true once
 * told, however late it comes, twice or out of order.
 */
package crankspar.gossip;
