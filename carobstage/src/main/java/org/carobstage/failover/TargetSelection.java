package org.carobstage.failover;

import java.util.List;
import java.util.Optional;
import org.carobstage.event.EventCode;
import org.carobstage.failover.FailoverCandidateSelector.Replica;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.upstream.ServiceGroup;

/** Selects the instance to promote when a primary is replaced that does not respond. */
final class TargetSelection {
    private final FailoverContext context;
    private final ServiceGroup group;
    private final ReplicaLogs logs;
    private final FailoverEvidence evidence;
    private final Optional<InstanceId> pendingTarget;

    TargetSelection(
            FailoverContext context,
            ServiceGroup group,
            ReplicaLogs logs,
            FailoverEvidence evidence,
            Optional<InstanceId> pendingTarget) {
        this.context = context;
        this.group = group;
        this.logs = logs;
        this.evidence = evidence;
        this.pendingTarget = pendingTarget;
    }

    /**
     * Selects the replica that is known to hold every acknowledged commit.
     *
     * @param receivingReplica the replica that is compared while it receives, if any
     * @return the replica, or empty if none is known to
     */
    Optional<InstanceId> select(Optional<InstanceId> receivingReplica) {
        List<Replica> candidates = logs.candidates(receivingReplica);
        Optional<LogPosition> newestAcknowledged =
                evidence.acknowledgedPosition(
                        logs.areOthersStopped(candidates, evidence.absentReplicas()));
        Optional<InstanceId> target =
                FailoverCandidateSelector.select(
                                candidates,
                                logs.replicas().size() + evidence.absentReplicas().size(),
                                newestAcknowledged)
                        .map(best -> preferPendingTarget(best, candidates))
                        .map(Replica::id);
        context.record(
                EventCode.FAILOVER_CHOICE,
                group.name(),
                "target="
                        + target.map(InstanceId::value).orElse("none")
                        + " candidates="
                        + candidates
                        + " replicas="
                        + logs.replicas().size()
                        + " acknowledged="
                        + newestAcknowledged
                        + " "
                        + evidence.describe());
        return target;
    }

    /** Prefers the target of a request that may still be executed, if its log is as long. */
    private Replica preferPendingTarget(Replica best, List<Replica> candidates) {
        return candidates.stream()
                .filter(c -> pendingTarget.equals(Optional.of(c.id())))
                .filter(c -> c.received().isAtLeast(best.received()))
                .findFirst()
                .orElse(best);
    }
}
