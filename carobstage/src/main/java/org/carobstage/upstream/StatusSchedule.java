package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/** Decides when the status of an instance and the position of the primary are queried again. */
final class StatusSchedule {
    /** Age at which the confirmed position is renewed, to stay within the staleness of reads. */
    private static final Duration POSITION_INTERVAL = Duration.ofMillis(1_000);

    /** The interval of status queries to instances that run no statements; each takes a slot. */
    private static final Duration STATUS_INTERVAL = Duration.ofMillis(15_000);

    /** The interval of status queries while no leader is known. */
    private static final Duration SEARCH_INTERVAL = Duration.ofMillis(100);

    /** Time without requests after which the position is no longer kept recent. */
    private static final Duration UNUSED_AFTER = Duration.ofMillis(5_000);

    /**
     * The interval at which all processes together query an instance where each query needs an
     * opening; an opening takes 12 ms of one of the 4 to 6 slots of the instance.
     */
    private static final Duration OPENING_INTERVAL = Duration.ofMillis(20);

    private final LeaderTracker leader;
    private final InstancePools pools;

    StatusSchedule(LeaderTracker leader, InstancePools pools) {
        this.leader = requireNonNull(leader, "leader is null");
        this.pools = requireNonNull(pools, "pools is null");
    }

    boolean isStatusDue(InstanceConnectionPool pool, long nowNanos) {
        long requestedNanos = pool.statusRequestedNanos();
        boolean isLeader = leader.leadership().isLeader(pool.entry().id());
        if (leader.leadership().leader().isEmpty()) {
            return nowNanos - requestedNanos >= withOpening(SEARCH_INTERVAL, pool).toNanos();
        }
        if (leader.acknowledgedCommits().isOutcomeUnknown() && isLeader) {
            return nowNanos - requestedNanos >= POSITION_INTERVAL.toNanos();
        }
        Duration interval =
                isLeader && pools.quota().belowOne()
                        ? withOpening(POSITION_INTERVAL, pool)
                        : STATUS_INTERVAL;
        return nowNanos - Math.max(pool.lastResponseNanos(), requestedNanos) >= interval.toNanos();
    }

    /**
     * Returns whether the position is renewed without a request. Where that needs openings, reads
     * request it themselves, and only the primary is queried to detect its failure.
     */
    boolean isPositionDue(long lastRequestNanos, long nowNanos) {
        return !pools.quota().belowOne()
                && nowNanos - lastRequestNanos < UNUSED_AFTER.toNanos()
                && leader.quorum()
                        .newest()
                        .filter(
                                p ->
                                        nowNanos - p.requestedAt().monotonicNanos()
                                                < POSITION_INTERVAL.toNanos())
                        .isEmpty();
    }

    /**
     * Lengthens an interval where no connections are kept open for the queries; jitter prevents
     * that all processes open connections at the same time.
     */
    private Duration withOpening(Duration interval, InstanceConnectionPool pool) {
        ConnectionQuota quota = pools.quota();
        Duration mean = OPENING_INTERVAL.multipliedBy(quota.processCount());
        long nanos = (long) (mean.toNanos() * (0.5 + pool.statusJitter()));
        return quota.belowOne() && nanos > interval.toNanos() ? Duration.ofNanos(nanos) : interval;
    }
}
