package org.carobstage.pool;

/**
 * This process's part of an instance's limits.
 *
 * @param slots how many statements it may run at once
 * @param connections how many connections it may hold
 */
public record Quota(int slots, int connections) {}
