/** Replacing the primary of a service: votes, the lease of the coordinator, choice and order. */
package org.carobstage.failover;
