package org.carobstage.failover;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventCode;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ServiceGroup;

/** Resumes the replicas of a service that a failover has left paused. */
final class PausedReplicaMonitor {
    /** A replica that stays paused this long without a lease holder is resumed. */
    private static final Duration PAUSED_REPLICA_TIMEOUT = Duration.ofMillis(4_000);

    /**
     * The interval at which one process queries whether the replicas are paused. With {@link
     * #PAUSED_REPLICA_TIMEOUT}, replicas resume within 8 s even if no process observed the end of
     * the failover.
     */
    private static final Duration QUERY_INTERVAL = Duration.ofMillis(3_000);

    /** A process that did not check for this long may not know of a failover. */
    private static final Duration MAX_CHECK_INTERVAL = Duration.ofMillis(1_000);

    private final FailoverContext context;
    private Optional<Long> pausedSince = Optional.empty();
    private long queriedNanos;
    private ClockReading checkedAt;

    PausedReplicaMonitor(FailoverContext context) {
        this.context = context;
        this.queriedNanos = context.clock().nanoTime();
        this.checkedAt = ClockReading.now(context.clock());
    }

    /** Forgets how long replicas have been paused, since a failover is due. */
    void reset() {
        pausedSince = Optional.empty();
    }

    /**
     * Queries the replicas if it is due.
     *
     * @param firstRanked whether this process is the one that queries, since each query occupies a
     *     slot
     */
    void query(ServiceGroup group, boolean firstRanked) {
        long nowNanos = context.clock().nanoTime();
        if (firstRanked && nowNanos - queriedNanos >= QUERY_INTERVAL.toNanos()) {
            queriedNanos = nowNanos;
            group.instances().stream()
                    .map(InstanceEntry::id)
                    .filter(id -> !group.leadership().isLeader(id))
                    .forEach(
                            id ->
                                    group.trySendControlCommand(
                                            id, new Statement.QueryStatus(), response -> {}));
        }
    }

    /**
     * Resumes replicas that have been paused for too long.
     *
     * @param failoverPossible whether a process replaces the primary of the service, or may do so
     *     unknown to this one
     */
    void resume(ServiceGroup group, boolean failoverPossible) {
        long nowNanos = context.clock().nanoTime();
        ClockReading now = ClockReading.now(context.clock());
        boolean suspended = checkedAt.age(now).compareTo(MAX_CHECK_INTERVAL) > 0;
        checkedAt = now;
        List<InstanceId> paused =
                group.instances().stream()
                        .map(InstanceEntry::id)
                        .filter(id -> !group.leadership().isLeader(id))
                        .filter(id -> group.status(id).filter(this::isPaused).isPresent())
                        .toList();
        if (paused.isEmpty() || failoverPossible || suspended) {
            pausedSince = Optional.empty();
        } else if (pausedSince.isEmpty()) {
            pausedSince = Optional.of(nowNanos);
        } else if (nowNanos - pausedSince.get() >= PAUSED_REPLICA_TIMEOUT.toNanos()) {
            pausedSince = Optional.empty();
            paused.forEach(
                    id ->
                            group.trySendControlCommand(
                                    id, new Statement.ResumeReplication(), response -> {}));
            context.record(
                    EventCode.REPLICA_RESUMED,
                    group.name(),
                    "instances="
                            + paused
                            + " paused_ms="
                            + PAUSED_REPLICA_TIMEOUT.toMillis()
                            + " lease_holder=none");
        }
    }

    private boolean isPaused(InstanceStatus status) {
        return status.pausedTerm().isAfter(Term.ZERO);
    }
}
