package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;

/**
 * One operation of a caller as the caller saw it.
 *
 * @param session the caller's session
 * @param owner whose entries it adds or lists
 * @param startNanos when it was sent
 * @param endNanos when its outcome arrived
 * @param outcome what the caller was told
 * @param instance the instance that answered, or empty text
 * @param action what it did
 */
public record Operation(
        String session,
        String owner,
        long startNanos,
        long endNanos,
        Outcome outcome,
        String instance,
        Action action) {
    /** Checks the operation. */
    public Operation {
        requireNonNull(session, "session is null");
        requireNonNull(owner, "owner is null");
        requireNonNull(outcome, "outcome is null");
        requireNonNull(instance, "instance is null");
        requireNonNull(action, "action is null");
    }

    /**
     * Tells whether the operation was over before another began.
     *
     * @param other the other operation
     * @return true if this one ended first
     */
    public boolean endsBefore(Operation other) {
        return endNanos - other.startNanos < 0;
    }

    /** What a caller was told. */
    public enum Outcome {
        /** It ran. */
        DONE,
        /** It did not run and never will. */
        NOT_RUN,
        /** It may have run. */
        UNKNOWN
    }

    /** What an operation does. */
    public sealed interface Action {}

    /**
     * Adds entries; more than one in a transaction.
     *
     * @param ids the identifiers of the new entries
     */
    public record Add(List<Long> ids) implements Action {
        /** Copies the identifiers. */
        public Add {
            ids = List.copyOf(ids);
        }
    }

    /**
     * Lists the entries of an owner.
     *
     * @param staleness how old the answer may be; zero if it must be current
     * @param replica true if a replica answered
     * @param seen the entries of the answer
     * @param end the number of rows that the end mark states
     */
    public record ListEntries(Duration staleness, boolean replica, List<Entry> seen, long end)
            implements Action {
        /** Copies the entries. */
        public ListEntries {
            requireNonNull(staleness, "staleness is null");
            seen = List.copyOf(seen);
        }
    }
}
