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

/** Decides which instance a statement goes to. */
public final class TargetSelector {
    private TargetSelector() {}

    /**
     * Chooses a replica where the policy and the session allow it, otherwise the primary.
     *
     * @param view what is known of the group
     * @param request the statement
     * @param primaryOnly true if no replica may be chosen
     * @param nowNanos the time now, in ns of the runtime's clock
     * @param cost the cost of a read at an instance
     * @param drained tells whether an instance is leaving and gets no new reads
     * @return the target, or empty if no primary is known
     */
    public static Optional<StatementTarget> select(
            GroupView view,
            StatementRequest request,
            boolean primaryOnly,
            long nowNanos,
            ToLongFunction<InstanceId> cost,
            Predicate<InstanceId> drained) {
        LogPosition atLeast =
                request.sessionPositions()
                        .orElse(SessionPositions.empty())
                        .positionFor(request.group());
        Optional<ReplicationStatus> primary = view.primary();
        Term term = primary.map(ReplicationStatus::promisedTerm).orElse(Term.ZERO);
        Optional<StatementTarget> atReplica =
                primaryOnly || !allowsReplica(request)
                        ? Optional.empty()
                        : ReplicaSelector.select(
                                        view,
                                        atLeast,
                                        request.policy().maxStaleness(),
                                        nowNanos,
                                        cost,
                                        drained)
                                .map(id -> new StatementTarget(id, term, atLeast, true));
        return atReplica.or(
                () -> primary.map(p -> new StatementTarget(p.instance(), term, atLeast, false)));
    }

    private static boolean allowsReplica(StatementRequest request) {
        return request.policy().access() == Access.READ
                && !request.policy().maxStaleness().isZero()
                && request.sessionPositions().isPresent();
    }
}
