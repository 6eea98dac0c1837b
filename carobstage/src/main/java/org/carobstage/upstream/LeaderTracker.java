package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventScope;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.LeadershipProof;
import org.carobstage.freshness.LogDecreaseDetector;
import org.carobstage.freshness.PositionQuorum;
import org.carobstage.freshness.PrimaryPositionHistory;
import org.carobstage.freshness.PrimaryPositionHistory.ObservedPosition;
import org.carobstage.freshness.ReadEvidenceLog;
import org.carobstage.freshness.ReportedLogs;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.sql.InstanceStatus;

/**
 * Tracks which instance leads a service, the log position of the primary, whether it acknowledges
 * commits and which commits it may have acknowledged.
 */
final class LeaderTracker {
    private final ServiceName service;
    private final UpstreamContext context;
    private final Runnable onChange;
    private final PrimaryPositionHistory primaryPositions = PrimaryPositionHistory.empty();
    private final LeadershipProof leadershipProof;
    private final PositionQuorum quorum;
    private final ReportedLogs logs = ReportedLogs.empty();
    private final ReadEvidenceLog evidenceLog;
    private final LogDecreaseDetector logDecreases;
    private final Map<InstanceId, InstanceStatus> statuses = new TreeMap<>();
    private final PrimaryRecoveryEstimate recoveryEstimate;
    private final AcknowledgedCommits acknowledgedCommits;
    private Leadership leadership = Leadership.empty();
    private CommitCircuitBreaker commitCircuitBreaker = CommitCircuitBreaker.closed();

    LeaderTracker(ServiceName service, UpstreamContext context, Runnable onChange) {
        this.service = requireNonNull(service, "service is null");
        this.context = requireNonNull(context, "context is null");
        this.onChange = requireNonNull(onChange, "onChange is null");
        this.leadershipProof = LeadershipProof.of(context.clock(), context.fencingEnforced());
        this.quorum = PositionQuorum.of(leadershipProof::holds);
        EventScope scope = EventScope.of(GroupId.of(service.value()));
        this.evidenceLog =
                ReadEvidenceLog.of(context.events(), scope, context.metrics(), quorum, now());
        this.logDecreases = LogDecreaseDetector.of(context.events(), scope);
        this.acknowledgedCommits = AcknowledgedCommits.of(context.clock(), quorum.floor()::raise);
        this.recoveryEstimate = PrimaryRecoveryEstimate.atStart(context.clock().nanoTime());
    }

    Leadership leadership() {
        return leadership;
    }

    PrimaryPositionHistory primaryPositions() {
        return primaryPositions;
    }

    PositionQuorum quorum() {
        return quorum;
    }

    LeadershipProof leadershipProof() {
        return leadershipProof;
    }

    CommitCircuitBreaker commitCircuitBreaker() {
        return commitCircuitBreaker;
    }

    AcknowledgedCommits acknowledgedCommits() {
        return acknowledgedCommits;
    }

    TrackedCommit trackCommit() {
        return TrackedCommit.of(
                context.clock(),
                commitCircuitBreaker.trackCommit(context.clock().nanoTime()),
                acknowledgedCommits);
    }

    PrimaryRecoveryEstimate recoveryEstimate() {
        return recoveryEstimate;
    }

    Optional<InstanceStatus> status(InstanceId id) {
        return Optional.ofNullable(statuses.get(id));
    }

    /** Records that an instance executed a statement that only a primary executes. */
    void onLeadershipConfirmed(InstanceId id, LogPosition position, ClockReading requestedAt) {
        updateLeadership(
                leadership.withLeader(id, position.term()),
                "the instance executed a statement as primary");
        Term term = status(id).map(InstanceStatus::term).orElse(position.term());
        logDecreases.onReport(id, position, term, true, requestedAt, now());
        reportPosition(id, position, requestedAt, true);
    }

    /** Records that an instance rejected a statement because it is a replica. */
    void onNotPrimary(InstanceId id) {
        updateLeadership(
                leadership.withoutLeader(id), "the instance rejected a statement as a replica");
    }

    /** Records the status that an instance reported. */
    void onStatus(InstanceId id, InstanceStatus status, ClockReading requestedAt) {
        recordChange(id, Optional.ofNullable(statuses.put(id, status)), status, requestedAt);
        ClockReading now = now();
        logDecreases.onReport(
                id, status.receivedPosition(), status.term(), status.isPrimary(), requestedAt, now);
        boolean shortened =
                logs.report(id, status.term(), status.receivedPosition(), requestedAt, now);
        if (status.isPrimary()) {
            updateLeadership(
                    leadership.withLeader(id, status.term()),
                    "the instance reported that it is primary");
        } else {
            Leadership next = leadership.withFollower(id, status.term());
            updateLeadership(
                    shortened ? next.withoutLeader(id) : next,
                    "the instance reported that it is a replica");
        }
        if (shortened) {
            quorum.add(id, now);
        }
        quorum.floor().enterTerm(leadership.term());
        if (!status.isPrimary()) {
            quorum.floor().raise(status.receivedPosition(), now);
        }
        reportPosition(id, status.receivedPosition(), requestedAt, status.isPrimary());
        if (status.isPrimary() && leadership.isLeader(id) && logs.isComplete(id)) {
            acknowledgedCommits.onPrimaryReported(status.receivedPosition(), requestedAt);
        }
    }

    /** Returns whether an instance reported that it is primary in a term that has ended. */
    boolean isReplacedPrimary(InstanceId id) {
        return status(id)
                .filter(s -> s.isPrimary() && leadership.term().isAfter(s.term()))
                .isPresent();
    }

    /** Records that an instance is suspected. */
    void onSuspected(InstanceId id) {
        if (leadership.isLeader(id)) {
            recoveryEstimate.onPrimaryLost(context.clock().nanoTime());
        }
    }

    /** Adds an instance, or adds it anew after a restart. */
    void add(InstanceEntry entry) {
        logs.remove(entry.id());
        quorum.add(entry.id(), now());
        logDecreases.onAdded(entry.id(), entry.bornMillis());
        evidenceLog.onAdded(entry.id());
        updateEvidence();
    }

    void remove(InstanceId id) {
        statuses.remove(id);
        logs.remove(id);
        evidenceLog.onRemoving(id, now());
        quorum.remove(id, now());
        updateLeadership(leadership.withoutLeader(id), "the instance was removed");
        updateEvidence();
    }

    private void reportPosition(
            InstanceId id, LogPosition position, ClockReading requestedAt, boolean asPrimary) {
        ClockReading now = now();
        boolean primary = asPrimary && leadership.isLeader(id) && logs.isComplete(id);
        Optional<ObservedPosition> before = quorum.newest();
        quorum.report(id, position, requestedAt, primary);
        if (primary) {
            primaryPositions.add(position, requestedAt, now);
        }
        quorum.newest()
                .filter(newest -> !before.equals(Optional.of(newest)))
                .ifPresent(newest -> primaryPositions.confirm(newest, now));
        updateEvidence();
    }

    private void updateEvidence() {
        evidenceLog.update(leadership.leader(), acknowledgedCommits.newestWithResult(), now());
    }

    private ClockReading now() {
        return ClockReading.now(context.clock());
    }

    private void recordChange(
            InstanceId id,
            Optional<InstanceStatus> before,
            InstanceStatus status,
            ClockReading requestedAt) {
        boolean same =
                before.filter(
                                b ->
                                        b.isPrimary() == status.isPrimary()
                                                && b.term().equals(status.term())
                                                && b.pausedTerm().equals(status.pausedTerm()))
                        .isPresent();
        if (!same) {
            context.events()
                    .record(
                            EventCode.INSTANCE_STATUS_CHANGED,
                            EventScope.of(GroupId.of(service.value())),
                            "instance="
                                    + id
                                    + " "
                                    + status
                                    + " age_ms="
                                    + requestedAt
                                            .age(ClockReading.now(context.clock()))
                                            .toMillis());
        }
    }

    private void updateLeadership(Leadership next, String reason) {
        boolean changed = !next.leader().equals(leadership.leader());
        next.leader().ifPresent(id -> leadershipProof.setLeader(id, next.term()));
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
        onChange.run();
    }
}
