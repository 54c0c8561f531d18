/**
 * Our own stand-ins, load and experiment tools: what a newcomer tries the fronts with, and what
 * tests and benchmarks run against. It may use the daemon's packages; nothing outside {@code lab}
 * and the tests imports it.
 */
package crankspar.lab;
