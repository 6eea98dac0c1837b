package org.carobstage.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.InstanceId;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ServiceGroup;

/**
 * Removes replicas that have left after draining from the replica set, once another replica has
 * received what they may have confirmed. A draining replica confirms commits until it ends,
 * possibly alone.
 */
final class DrainedReplicaMonitor {
    /** A failover may wait for the drained replica until then, but each query occupies a slot. */
    private static final Duration QUERY_INTERVAL = Duration.ofMillis(100);

    private final FailoverContext context;
    private final ReplicaSet replicas;
    private final Map<InstanceId, Departure> departures = new HashMap<>();
    private long nextQueryNanos;

    DrainedReplicaMonitor(FailoverContext context, ReplicaSet replicas) {
        this.context = context;
        this.replicas = replicas;
        this.nextQueryNanos = context.clock().nanoTime();
    }

    /**
     * Queries the primary and the replicas while a drained replica is in the set.
     *
     * @param firstRanked whether this process is the one that queries; the others observe its
     *     record of the replica set
     */
    void query(ServiceGroup group, boolean firstRanked) {
        List<InstanceId> drained = replicas.drained();
        departures.keySet().retainAll(drained);
        drained.forEach(id -> departures.computeIfAbsent(id, Departure::new));
        long nowNanos = context.clock().nanoTime();
        if (departures.isEmpty() || !firstRanked || nowNanos - nextQueryNanos < 0) {
            return;
        }
        nextQueryNanos = nowNanos + QUERY_INTERVAL.toNanos();
        List<Departure> observed = List.copyOf(departures.values());
        group.instances().stream()
                .map(InstanceEntry::id)
                .forEach(
                        id ->
                                group.trySendControlCommand(
                                        id,
                                        new Statement.QueryStatus(),
                                        response ->
                                                response.status()
                                                        .ifPresent(s -> onStatus(observed, s))));
    }

    /** Applies a status that was requested after the replicas had left. */
    private void onStatus(List<Departure> observed, InstanceStatus status) {
        if (status.isPrimary()) {
            observed.forEach(d -> d.onPrimaryStatus(status));
        } else {
            observed.stream()
                    .filter(d -> departures.get(d.id) == d && d.isCoveredBy(status))
                    .forEach(d -> replicas.removeDrained(d.id, status.receivedPosition()));
        }
    }

    /** A replica that has left, and the end of the primary's log after that. */
    private static final class Departure {
        private final InstanceId id;
        private Optional<InstanceStatus> primaryStatus = Optional.empty();

        private Departure(InstanceId id) {
            this.id = id;
        }

        /** Prefers the primary of the highest term, since a former one may not know of it. */
        private void onPrimaryStatus(InstanceStatus status) {
            if (primaryStatus.filter(p -> !status.term().isAfter(p.term())).isEmpty()) {
                primaryStatus = Optional.of(status);
            }
        }

        private boolean isCoveredBy(InstanceStatus replica) {
            return primaryStatus
                    .filter(p -> p.term().equals(replica.term()))
                    .filter(p -> replica.receivedPosition().isAtLeast(p.receivedPosition()))
                    .isPresent();
        }
    }
}
