package org.carobstage.statement;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.carobstage.backend.Standing;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.group.GroupView;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.read.ReplicaChoice;
import org.carobstage.session.SessionPositions;

/** Decides which instance a statement goes to. */
public final class TargetChoice {
    private TargetChoice() {}

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
    public static Optional<Target> choose(
            GroupView view,
            StatementRequest request,
            boolean primaryOnly,
            long nowNanos,
            ToLongFunction<InstanceId> cost,
            Predicate<InstanceId> drained) {
        LogPosition atLeast =
                request.session().orElse(SessionPositions.empty()).of(request.group());
        Optional<Standing> primary = view.primary();
        Term term = primary.map(Standing::promised).orElse(Term.ZERO);
        Optional<Target> atReplica =
                primaryOnly || !allowsReplica(request)
                        ? Optional.empty()
                        : ReplicaChoice.choose(
                                        view,
                                        atLeast,
                                        request.policy().staleness(),
                                        nowNanos,
                                        cost,
                                        drained)
                                .map(id -> new Target(id, term, atLeast, true));
        return atReplica.or(() -> primary.map(p -> new Target(p.instance(), term, atLeast, false)));
    }

    private static boolean allowsReplica(StatementRequest request) {
        return request.policy().access() == Access.READ
                && !request.policy().staleness().isZero()
                && request.session().isPresent();
    }
}
