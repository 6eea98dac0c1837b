package org.carobstage.pool;

/**
 * This process's share of an instance's limits.
 *
 * @param slots how many statements the process may run at once
 * @param connections how many connections the process may hold
 */
public record Quota(int slots, int connections) {}
