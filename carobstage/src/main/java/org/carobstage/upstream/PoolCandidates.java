package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/** Describes pools to the selection of an instance. */
final class PoolCandidates {
    /**
     * The wait for a replica before a read goes to a primary that is reserved for statements that
     * only it can run; longer than a round trip to another failure domain with an opening.
     */
    private static final Duration PRIMARY_RESERVATION = Duration.ofMillis(60);

    private PoolCandidates() {}

    /** Returns the candidate of a pool, whatever the request needs. */
    static InstanceSelector.Candidate of(InstanceConnectionPool pool) {
        requireNonNull(pool, "pool is null");
        return create(pool, pool.connections().busyCount(), Duration.ZERO);
    }

    /** Returns the candidate of a pool, with the cost of choosing it for a request. */
    static InstanceSelector.Candidate of(InstanceConnectionPool pool, ConnectionRequest request) {
        Duration opening = pool.hasIdle(request) ? Duration.ZERO : pool.expectedOpeningTime();
        boolean isLeftToWrites = !request.needsPrimary() && pool.isReserved();
        return create(
                pool,
                pool.connections().busyCount() + pool.openings().size(),
                isLeftToWrites ? opening.plus(PRIMARY_RESERVATION) : opening);
    }

    private static InstanceSelector.Candidate create(
            InstanceConnectionPool pool, int runningCount, Duration cost) {
        return new InstanceSelector.Candidate(
                pool.entry().id(),
                pool.isLocal(),
                pool.isSuspected(),
                pool.entry().draining(),
                runningCount,
                pool.entry().slots(),
                pool.averageLatency().toNanos() / 1e6,
                cost.toNanos() / 1e6);
    }
}
