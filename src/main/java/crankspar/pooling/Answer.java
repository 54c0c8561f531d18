package crankspar.pooling;

import java.util.List;

/**
 * A server's reply, passed on unchanged: either complete, or the beginning of a reply that the
 * lease streams to the client.
 */
record Answer(List<Frame> frames, Lease lease) {}
