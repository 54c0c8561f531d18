package crankspar.pooling;

import java.util.List;

/**
 * What a server gave, for the client as it is: whole, or the beginning of what its connection goes
 * on to give.
 */
record Answer(List<Frame> frames, Lease lease) {}
