package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/** State of a proposer. */
public sealed interface PromotionState {
    /** No promotion is in progress. */
    record Idle() implements PromotionState {}

    /**
     * The proposer waits for a majority to promise a term.
     *
     * @param term the term
     * @param replacedPrimary the primary to replace, or empty
     * @param preferredCandidate the instance to promote if log positions are equal, or empty
     * @param promises the replication status of each instance that has promised the term
     * @param deadlineNanos when the promotion is abandoned, in ns of the monotonic clock
     */
    record CollectingPromises(
            Term term,
            Optional<InstanceId> replacedPrimary,
            Optional<InstanceId> preferredCandidate,
            Map<InstanceId, ReplicationStatus> promises,
            long deadlineNanos)
            implements PromotionState {
        /** Rejects null components and copies the collections. */
        public CollectingPromises {
            requireNonNull(term, "term is null");
            requireNonNull(replacedPrimary, "replacedPrimary is null");
            requireNonNull(preferredCandidate, "preferredCandidate is null");
            promises = Map.copyOf(promises);
        }
    }

    /**
     * The proposer waits for one instance to become primary; no other may be promoted at this term.
     *
     * @param term the term
     * @param candidate the instance to promote
     * @param deadlineNanos when the promotion is abandoned, in ns of the monotonic clock
     */
    record Promoting(Term term, InstanceId candidate, long deadlineNanos)
            implements PromotionState {
        /** Rejects null components. */
        public Promoting {
            requireNonNull(term, "term is null");
            requireNonNull(candidate, "candidate is null");
        }
    }
}
