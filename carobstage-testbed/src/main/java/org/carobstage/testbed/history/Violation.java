package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

/**
 * A violation of a guarantee in a history.
 *
 * @param kind the violated guarantee
 * @param detail the operations or entries that prove the violation
 */
public record Violation(Kind kind, String detail) {
    /** Rejects null components. */
    public Violation {
        requireNonNull(kind, "kind is null");
        requireNonNull(detail, "detail is null");
    }

    /** The kinds of violation that are checked for. */
    public enum Kind {
        /** A read did not return an earlier acknowledged write of its own session. */
        READ_YOUR_WRITES,
        /** A read did not return an entry that an earlier read of its session had returned. */
        MONOTONIC_READS,
        /** A current read did not return a write acknowledged before the read started. */
        CURRENT_READ,
        /** A read did not return a write that is older than the maximum staleness. */
        STALENESS,
        /** An acknowledged write is missing from the final entries. */
        LOST,
        /** An entry occurs more than once. */
        DOUBLED,
        /** A write that was reported as not run took effect. */
        NOT_RUN_RAN,
        /** Only some of the entries of a transaction are visible or stored. */
        TRANSACTION_SPLIT,
        /** A response contains entries of another owner, or entries that no operation wrote. */
        FOREIGN_ANSWER,
        /** The number of entries in a response differs from its end mark. */
        PARTIAL_ANSWER,
        /** An instance was used beyond its limits. */
        LIMIT
    }
}
