package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PrimaryPositionHistory;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.sql.InstanceStatus;

/**
 * Which instance leads a service, how far its log has come, and whether it acknowledges commits.
 */
final class LeaderTracker {
    private final ServiceName service;
    private final UpstreamContext context;
    private final Runnable whenChanged;
    private final PrimaryPositionHistory primaryPositions = PrimaryPositionHistory.empty();
    private final Map<InstanceId, InstanceStatus> statuses = new TreeMap<>();
    private final PrimaryRecoveryEstimate recoveryEstimate;
    private Leadership leadership = Leadership.empty();
    private CommitCircuitBreaker commitCircuitBreaker = CommitCircuitBreaker.closed();

    LeaderTracker(ServiceName service, UpstreamContext context, Runnable whenChanged) {
        this.service = requireNonNull(service, "service is null");
        this.context = requireNonNull(context, "context is null");
        this.whenChanged = requireNonNull(whenChanged, "whenChanged is null");
        this.recoveryEstimate = PrimaryRecoveryEstimate.atStart(context.clock().nanoTime());
    }

    Leadership leadership() {
        return leadership;
    }

    PrimaryPositionHistory primaryPositions() {
        return primaryPositions;
    }

    CommitCircuitBreaker commitCircuitBreaker() {
        return commitCircuitBreaker;
    }

    PrimaryRecoveryEstimate recoveryEstimate() {
        return recoveryEstimate;
    }

    Optional<InstanceStatus> status(InstanceId id) {
        return Optional.ofNullable(statuses.get(id));
    }

    /** Takes over that an instance ran a statement that only a primary runs. */
    void onLeadershipConfirmed(InstanceId id, LogPosition position, ClockReading asked) {
        set(leadership.withLeader(id, position.term()), "it ran a statement as primary");
        addPosition(id, position, asked);
    }

    /** Takes over that an instance refused a statement as a replica. */
    void onNotPrimary(InstanceId id) {
        set(leadership.withoutLeader(id), "it refused a statement as replica");
    }

    /** Takes over what an instance said of itself. */
    void status(InstanceId id, InstanceStatus status, ClockReading asked) {
        statuses.put(id, status);
        if (status.isPrimary()) {
            set(leadership.withLeader(id, status.term()), "its status says so");
            addPosition(id, status.receivedPosition(), asked);
        } else {
            set(leadership.withFollower(id, status.term()), "its status says replica");
        }
    }

    /** Takes over that an instance does not answer. */
    void onSuspected(InstanceId id) {
        if (leadership.isLeader(id)) {
            recoveryEstimate.onPrimaryLost(context.clock().nanoTime());
        }
    }

    void remove(InstanceId id) {
        statuses.remove(id);
        set(leadership.withoutLeader(id), "the instance is gone");
    }

    private void addPosition(InstanceId id, LogPosition position, ClockReading asked) {
        if (leadership.isLeader(id)) {
            primaryPositions.add(position, asked, ClockReading.now(context.clock()));
        }
    }

    private void set(Leadership next, String reason) {
        boolean changed = !next.leader().equals(leadership.leader());
        leadership = next;
        if (!changed) {
            return;
        }
        commitCircuitBreaker = CommitCircuitBreaker.closed();
        if (next.leader().isEmpty()) {
            recoveryEstimate.onPrimaryReplaced(context.clock().nanoTime());
        }
        String leader = next.leader().map(InstanceId::value).orElse("none");
        context.events()
                .record(
                        EventCode.PRIMARY_KNOWN,
                        EventScope.of(GroupId.of(service.value())),
                        "primary=" + leader + " term=" + next.term() + " reason=" + reason);
        whenChanged.run();
    }
}
