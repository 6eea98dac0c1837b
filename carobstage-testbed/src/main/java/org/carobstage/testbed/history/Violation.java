package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

/**
 * A promise that a history breaks.
 *
 * @param kind which promise
 * @param detail the operations or values that show it
 */
public record Violation(Kind kind, String detail) {
    /** Checks the violation. */
    public Violation {
        requireNonNull(kind, "kind is null");
        requireNonNull(detail, "detail is null");
    }

    /** The promises that are checked. */
    public enum Kind {
        /** A session did not see its own acknowledged write. */
        READ_YOUR_WRITES,
        /** A session saw an entry and later no longer. */
        MONOTONIC_READS,
        /** A read that must be current missed an acknowledged write. */
        CURRENT_READ,
        /** A read missed a write that is older than its staleness allows. */
        STALENESS,
        /** An acknowledged write is gone at the end. */
        LOST,
        /** A write stands twice. */
        DOUBLED,
        /** A write that was refused as not run took effect. */
        NOT_RUN_RAN,
        /** A transaction was seen or kept in part. */
        TRANSACTION_SPLIT,
        /** An answer holds rows of another owner, or rows that nobody wrote. */
        FOREIGN_ANSWER,
        /** An answer has fewer or more rows than its end mark states. */
        PARTIAL_ANSWER,
        /** An instance bore more than its limits. */
        LIMIT
    }
}
