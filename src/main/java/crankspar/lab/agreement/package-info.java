/**
 * The replicated store's members in a world of one thread: time, chance, messages and disks are
 * models, and one seed gives one course of events. {@link crankspar.lab.agreement.Simulation} plays
 * it and judges what clients were answered.
 */
package crankspar.lab.agreement;
