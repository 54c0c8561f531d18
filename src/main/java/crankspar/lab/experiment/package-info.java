/**
 * Two settings, or two jars, against the same fleet and the same seeds: {@link
 * crankspar.lab.experiment.Compare} says what their difference is worth, without I/O; {@link
 * crankspar.lab.experiment.ExperimentCommand} runs them in turn.
 */
package crankspar.lab.experiment;
