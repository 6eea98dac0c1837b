package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * Where a statement goes.
 *
 * @param instance the instance
 * @param term the term under which it may run
 * @param atLeast what the instance's log must cover
 * @param replica true if the instance is a replica
 */
public record Target(InstanceId instance, Term term, LogPosition atLeast, boolean replica) {
    /** Checks the target. */
    public Target {
        requireNonNull(instance, "instance is null");
        requireNonNull(term, "term is null");
        requireNonNull(atLeast, "atLeast is null");
    }
}
