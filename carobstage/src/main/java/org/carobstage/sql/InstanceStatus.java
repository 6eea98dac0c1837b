package org.carobstage.sql;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * What an instance says of itself.
 *
 * @param primary whether it leads its term
 * @param term the newest term it knows
 * @param received the end of the log it has received
 * @param pausedTerm the term its replication is paused for, zero if it isn't
 */
public record InstanceStatus(
        boolean isPrimary, Term term, LogPosition receivedPosition, Term pausedTerm) {
    /** Checks the status. */
    public InstanceStatus {
        requireNonNull(term, "term is null");
        requireNonNull(receivedPosition, "received is null");
        requireNonNull(pausedTerm, "pausedTerm is null");
    }
}
