package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.OptionalInt;

/**
 * The part of an instance's connections that this process may use.
 *
 * @param connections the equal share of this process, at least 1
 * @param processCount how many processes share the instances
 * @param ceiling how many connections this process may use while no other process needs them
 * @param belowOne whether there are more processes than connections
 * @param accountsInUse whether connections belong to client accounts
 * @param keepsLocal whether this process keeps a connection open to each instance in its own
 *     failure domain although there are more processes than connections
 */
public record ConnectionQuota(
        int connections,
        int processCount,
        int ceiling,
        boolean belowOne,
        boolean accountsInUse,
        OptionalInt standbyRank) {
    /**
     * Rejects counts below 1.
     *
     * @throws IllegalArgumentException if a count is below 1
     */
    public ConnectionQuota {
        if (connections < 1 || processCount < 1) {
            throw new IllegalArgumentException("a count is below 1");
        }
        requireNonNull(standbyRank, "standbyRank is null");
        ceiling = Math.max(connections, ceiling);
    }

    /**
     * Creates a quota without connections that are kept open below one per process.
     *
     * @param connections the equal share of this process, at least 1
     * @param processCount how many processes share the instances
     * @param ceiling how many connections this process may use while no other process needs them
     * @param belowOne whether there are more processes than connections
     * @param accountsInUse whether connections belong to client accounts
     */
    public ConnectionQuota(
            int connections,
            int processCount,
            int ceiling,
            boolean belowOne,
            boolean accountsInUse) {
        this(connections, processCount, ceiling, belowOne, accountsInUse, OptionalInt.empty());
    }

    /**
     * Creates a quota of at least one connection, which is also the maximum.
     *
     * @param connections the connections of this process
     * @param processCount how many processes share the instances
     * @return the quota
     */
    public static ConnectionQuota fixed(int connections, int processCount) {
        return new ConnectionQuota(connections, processCount, connections, false, false);
    }

    /**
     * Returns this quota for a process that keeps connections open.
     *
     * @param rank its rank among the processes of its failure domain, from 0
     * @return the quota
     */
    public ConnectionQuota withStandbyRank(int rank) {
        return new ConnectionQuota(
                connections, processCount, ceiling, belowOne, accountsInUse, OptionalInt.of(rank));
    }

    /**
     * Returns whether a process may use more than its equal share while no instance refuses.
     *
     * @return true if connections are opened on demand
     */
    public boolean isElastic() {
        return belowOne || accountsInUse;
    }
}
