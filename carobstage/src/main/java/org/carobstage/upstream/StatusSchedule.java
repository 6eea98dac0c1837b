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
        if (leader.leadership().leader().isEmpty()) {
            return nowNanos - requestedNanos >= withOpening(SEARCH_INTERVAL).toNanos();
        }
        if (leader.acknowledgedCommits().isOutcomeUnknown()
                && leader.leadership().isLeader(pool.entry().id())) {
            return nowNanos - requestedNanos >= POSITION_INTERVAL.toNanos();
        }
        return nowNanos - Math.max(pool.lastResponseNanos(), requestedNanos)
                >= STATUS_INTERVAL.toNanos();
    }

    boolean isPositionDue(long lastRequestNanos, long nowNanos) {
        long interval = withOpening(POSITION_INTERVAL).toNanos();
        return nowNanos - lastRequestNanos < UNUSED_AFTER.toNanos()
                && leader.quorum()
                        .newest()
                        .filter(p -> nowNanos - p.requestedAt().monotonicNanos() < interval)
                        .isEmpty();
    }

    /** Lengthens an interval where no connections are kept open for the queries. */
    private Duration withOpening(Duration interval) {
        ConnectionQuota quota = pools.quota();
        Duration opening = OPENING_INTERVAL.multipliedBy(quota.processCount());
        return quota.belowOne() && opening.compareTo(interval) > 0 ? opening : interval;
    }
}
