package org.carobstage.backend;

/** Why an instance refused a request that therefore did not run. */
public enum Refusal {
    /** It has promised a higher term, or is not the primary of the term. */
    TERM,
    /** Its log does not yet cover what the request demands. */
    BEHIND,
    /** The statement itself is wrong, or breaks a constraint. */
    STATEMENT,
    /** No slot or connection is free. */
    LIMIT,
    /** The key was recorded with another statement. */
    KEY_REUSED,
    /** No outcome is recorded for the key. */
    KEY_UNKNOWN,
    /** The transaction is not open on this connection. */
    TRANSACTION,
    /** The instance is leaving. */
    LEAVING
}
