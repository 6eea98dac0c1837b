/** The way of a statement: policy, choice of instance, slot, run, proof, outcome. */
package org.carobstage.statement;
