package org.carobstage.backend;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * Replication status that an instance reports at one moment.
 *
 * @param instance the instance
 * @param promisedTerm the highest term it has promised; it refuses every lower one
 * @param isPrimary true if it is the primary of the promised term
 * @param lastPosition the position of the last entry in its log
 * @param lagMillis the time in ms since it last held every entry of its primary; negative if
 *     unknown
 * @param primaryContactAgeMillis the time in ms since its primary last responded to it at the
 *     promised term, regardless of its lag; 0 at a primary, negative if unknown
 */
public record ReplicationStatus(
        InstanceId instance,
        Term promisedTerm,
        boolean isPrimary,
        LogPosition lastPosition,
        long lagMillis,
        long primaryContactAgeMillis) {
    /** Rejects null components. */
    public ReplicationStatus {
        requireNonNull(instance, "instance is null");
        requireNonNull(promisedTerm, "promisedTerm is null");
        requireNonNull(lastPosition, "lastPosition is null");
    }

    /**
     * Creates the status of an instance whose last contact with its primary is as old as its lag.
     *
     * @param instance the instance
     * @param promisedTerm the highest term it has promised
     * @param isPrimary true if it is the primary of the promised term
     * @param lastPosition the position of the last entry in its log
     * @param lagMillis the staleness in ms, negative if unknown
     */
    public ReplicationStatus(
            InstanceId instance,
            Term promisedTerm,
            boolean isPrimary,
            LogPosition lastPosition,
            long lagMillis) {
        this(instance, promisedTerm, isPrimary, lastPosition, lagMillis, lagMillis);
    }

    /**
     * Returns whether this status acknowledges a log entry in the term of that entry.
     *
     * @param position the position of the entry
     * @return true if the promised term and the term of the last log entry are the entry's term and
     *     the log covers the entry
     */
    public boolean confirms(LogPosition position) {
        return promisedTerm.equals(position.term())
                && lastPosition.term().equals(promisedTerm)
                && lastPosition.isAtLeast(position);
    }

    /**
     * Returns whether the last log entry was written in the promised term.
     *
     * @return true if no log entry that a majority holds can still be dropped
     */
    public boolean isLogAtPromisedTerm() {
        return lastPosition.term().equals(promisedTerm);
    }
}
