package org.carobstage.sql;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * The status that an instance reports.
 *
 * @param isPrimary whether the instance is the primary of its term
 * @param term the highest term the instance has seen
 * @param receivedPosition the end of the log that the instance has received
 * @param pausedTerm the term for which replication is paused, zero if it is not paused
 */
public record InstanceStatus(
        boolean isPrimary, Term term, LogPosition receivedPosition, Term pausedTerm) {
    /** Rejects null components. */
    public InstanceStatus {
        requireNonNull(term, "term is null");
        requireNonNull(receivedPosition, "receivedPosition is null");
        requireNonNull(pausedTerm, "pausedTerm is null");
    }

    @Override
    public String toString() {
        return "InstanceStatus[isPrimary="
                + isPrimary
                + ", term="
                + term
                + ", receivedPosition="
                + receivedPosition
                + ", pausedTerm="
                + pausedTerm
                + "]";
    }
}
