/**
 * Open-loop load: requests leave when they are due, whether or not the ones before are answered,
 * and latency counts from when each was meant to leave, so that a stall is not hidden by the client
 * that waits for it (wrk2's correction, at the source). {@link crankspar.lab.load.Arrivals}, {@link
 * crankspar.lab.load.Plan} and {@link crankspar.lab.load.Trace} decide what is asked when, from one
 * seed and without a clock; {@link crankspar.lab.load.Recorder} keeps what came of it; {@link
 * crankspar.lab.load.Generator} drives, and watches itself.
 */
package crankspar.lab.load;
