/** Drawn runs of operators' calls at poolers that replicate them, checked against the rule. */
package crankspar.lab.calls;
