package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * Instance to which a statement is sent.
 *
 * @param instance the instance
 * @param term the term under which it may run
 * @param minLogPosition the position that the instance's log must cover
 * @param isReplica true if the instance is a replica
 */
public record StatementTarget(
        InstanceId instance, Term term, LogPosition minLogPosition, boolean isReplica) {
    /** Rejects null components. */
    public StatementTarget {
        requireNonNull(instance, "instance is null");
        requireNonNull(term, "term is null");
        requireNonNull(minLogPosition, "minLogPosition is null");
    }
}
