package org.carobstage.backend;

/** Why an instance refused a request; a refused request did not run. */
public enum Refusal {
    /** The instance has promised a higher term, or is not the primary of the term. */
    TERM,
    /** The log of the instance does not yet cover the required position. */
    BEHIND,
    /** The statement is invalid or violates a constraint. */
    STATEMENT,
    /** No slot or connection is free. */
    LIMIT,
    /** The key was recorded with another statement. */
    KEY_REUSED,
    /** No outcome is recorded for the key. */
    KEY_UNKNOWN,
    /** The transaction is not open on this connection. */
    TRANSACTION,
    /** The instance is leaving the group. */
    LEAVING
}
