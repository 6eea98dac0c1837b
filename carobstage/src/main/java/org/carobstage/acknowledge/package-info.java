/** Proof that a majority of a group holds what a caller is about to be told. */
package org.carobstage.acknowledge;
