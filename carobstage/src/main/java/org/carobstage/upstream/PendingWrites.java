package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.InstanceId;

/** The writes and commits of one service that have no result yet, or whose outcome is unknown. */
public final class PendingWrites {
    private final InstancePools pools;
    private final AcknowledgedCommits acknowledgedCommits;

    PendingWrites(InstancePools pools, AcknowledgedCommits acknowledgedCommits) {
        this.pools = requireNonNull(pools, "pools is null");
        this.acknowledgedCommits =
                requireNonNull(acknowledgedCommits, "acknowledgedCommits is null");
    }

    /**
     * Returns whether a commit may have been acknowledged after the newest known position.
     *
     * @return true while a commit is in flight or its outcome is unknown
     */
    public boolean mayBeAcknowledged() {
        return acknowledgedCommits.isIncomplete();
    }

    /**
     * Returns whether a write or commit that was sent to an instance has no result yet.
     *
     * @param instance the instance
     * @return true if the instance may still read and acknowledge it
     */
    public boolean areInFlight(InstanceId instance) {
        return pools.withConnectionsTo(instance).stream()
                .map(InstanceConnectionPool::connections)
                .anyMatch(ConnectionSet::hasWritesInFlight);
    }

    /**
     * Resets the connections to an instance on which a write or commit has no result yet. Their
     * outcomes are then unknown, and the instance can't acknowledge them any more.
     *
     * @param instance the instance that is being replaced
     */
    public void discardInFlight(InstanceId instance) {
        pools.withConnectionsTo(instance).stream()
                .map(InstanceConnectionPool::connections)
                .forEach(ConnectionSet::discardWritesInFlight);
    }
}
