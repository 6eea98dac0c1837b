package org.carobstage.statement;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.group.GroupView;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.read.ReplicaSelector;
import org.carobstage.session.SessionPositions;

/** Selects the instance to which a statement is sent. */
public final class TargetSelector {
    private TargetSelector() {}

    /**
     * Selects a replica if the policy and the session allow it, otherwise the primary.
     *
     * @param view the latest view of the group
     * @param request the statement
     * @param isPrimaryOnly true if no replica may be selected
     * @param nowNanos the current monotonic time in ns
     * @param cost returns the cost of a read at an instance
     * @param isDraining returns whether an instance is draining and gets no new reads
     * @return the target, or empty if no primary is known
     */
    public static Optional<StatementTarget> select(
            GroupView view,
            StatementRequest request,
            boolean isPrimaryOnly,
            long nowNanos,
            ToLongFunction<InstanceId> cost,
            Predicate<InstanceId> isDraining) {
        LogPosition minLogPosition =
                request.sessionPositions()
                        .orElse(SessionPositions.empty())
                        .positionFor(request.group());
        Optional<ReplicationStatus> primary = view.primary();
        Term term = primary.map(ReplicationStatus::promisedTerm).orElse(Term.ZERO);
        Optional<StatementTarget> replicaTarget =
                isPrimaryOnly || !allowsReplica(request)
                        ? Optional.empty()
                        : ReplicaSelector.select(
                                        view,
                                        minLogPosition,
                                        request.policy().maxStaleness(),
                                        nowNanos,
                                        cost,
                                        isDraining)
                                .map(id -> new StatementTarget(id, term, minLogPosition, true));
        return replicaTarget.or(
                () ->
                        primary.map(
                                p ->
                                        new StatementTarget(
                                                p.instance(), term, minLogPosition, false)));
    }

    private static boolean allowsReplica(StatementRequest request) {
        return request.policy().access() == Access.READ
                && !request.policy().maxStaleness().isZero()
                && request.sessionPositions().isPresent();
    }
}
