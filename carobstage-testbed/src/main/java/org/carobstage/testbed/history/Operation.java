package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;

/**
 * An operation as its caller observed it.
 *
 * @param session the caller's session
 * @param owner the owner of the entries that it adds or lists
 * @param startNanos the monotonic time at which the request was sent, in ns
 * @param endNanos the monotonic time at which the outcome arrived, in ns
 * @param outcome the outcome reported to the caller
 * @param instance the instance that responded, or an empty string
 * @param action the write or read
 */
public record Operation(
        String session,
        String owner,
        long startNanos,
        long endNanos,
        Outcome outcome,
        String instance,
        Action action) {
    /** Rejects null components. */
    public Operation {
        requireNonNull(session, "session is null");
        requireNonNull(owner, "owner is null");
        requireNonNull(outcome, "outcome is null");
        requireNonNull(instance, "instance is null");
        requireNonNull(action, "action is null");
    }

    /**
     * Returns whether the operation ended before another started.
     *
     * @param other the other operation
     * @return true if this operation ended before the other started
     */
    public boolean endsBefore(Operation other) {
        return endNanos - other.startNanos < 0;
    }

    /** The outcome reported to a caller. */
    public enum Outcome {
        /** The operation was executed. */
        DONE,
        /** The operation was not executed and never will be. */
        NOT_RUN,
        /** The operation may or may not have been executed. */
        UNKNOWN
    }

    /** The write or read that an operation performs. */
    public sealed interface Action {}

    /**
     * Adds entries; more than one entry is added in a transaction.
     *
     * @param ids the identifiers of the new entries
     */
    public record Add(List<Long> ids) implements Action {
        /** Copies the list. */
        public Add {
            ids = List.copyOf(ids);
        }
    }

    /**
     * Lists the entries of an owner.
     *
     * @param staleness the maximum staleness; zero for a current read
     * @param replica true if a replica responded
     * @param seen the entries in the response
     * @param end the row count stated by the response's end mark
     */
    public record ListEntries(Duration staleness, boolean replica, List<Entry> seen, long end)
            implements Action {
        /** Rejects null components and copies the collections. */
        public ListEntries {
            requireNonNull(staleness, "staleness is null");
            seen = List.copyOf(seen);
        }
    }
}
