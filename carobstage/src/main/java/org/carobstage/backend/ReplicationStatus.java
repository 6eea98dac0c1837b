package org.carobstage.backend;

import static java.util.Objects.requireNonNull;

import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/**
 * What an instance says of itself at one moment.
 *
 * @param instance the instance
 * @param promised the highest term it has promised; it refuses every lower one
 * @param primary true if it is the primary of the promised term
 * @param last the position of the last entry in its log
 * @param lagMillis how long ago, in ms, it last held all that its primary then had; negative if
 *     unknown
 * @param contactMillis how long ago, in ms, its primary last answered it at the promised term,
 *     however far behind it is; 0 at a primary, negative if unknown
 */
public record ReplicationStatus(
        InstanceId instance,
        Term promisedTerm,
        boolean isPrimary,
        LogPosition lastPosition,
        long lagMillis,
        long primaryContactAgeMillis) {
    /** Checks the standing. */
    public ReplicationStatus {
        requireNonNull(instance, "instance is null");
        requireNonNull(promisedTerm, "promised is null");
        requireNonNull(lastPosition, "last is null");
    }

    /**
     * Creates the standing of an instance that heard from its primary when it last held all.
     *
     * @param instance the instance
     * @param promised the highest term it has promised
     * @param primary true if it is the primary of the promised term
     * @param last the position of the last entry in its log
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
     * Tells whether this standing proves that the instance holds an entry under its term.
     *
     * @param position the position of the entry
     * @return true if the instance stands at the entry's term and its log covers the entry
     */
    public boolean confirms(LogPosition position) {
        return promisedTerm.equals(position.term())
                && lastPosition.term().equals(promisedTerm)
                && lastPosition.isAtLeast(position);
    }

    /**
     * Tells whether the end of the log belongs to the promised term.
     *
     * @return true if nothing in the log can be dropped unless a majority lacks it
     */
    public boolean isLogAtPromisedTerm() {
        return lastPosition.term().equals(promisedTerm);
    }
}
