/**
 * Failover of a service: processes vote, one of them acquires a lease, selects a replica and
 * requests its promotion.
 */
package org.carobstage.failover;
