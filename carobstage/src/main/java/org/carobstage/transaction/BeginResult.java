package org.carobstage.transaction;

import static java.util.Objects.requireNonNull;

import org.carobstage.statement.Outcome;

/** Result of the request to begin a transaction. */
public sealed interface BeginResult {
    /**
     * The transaction is open.
     *
     * @param id its id
     */
    record Begun(TransactionId id) implements BeginResult {
        /** Rejects a null identifier. */
        public Begun {
            requireNonNull(id, "id is null");
        }
    }

    /**
     * No transaction was opened.
     *
     * @param outcome the reason
     */
    record Refused(Outcome.NotRun outcome) implements BeginResult {
        /** Rejects a null outcome. */
        public Refused {
            requireNonNull(outcome, "outcome is null");
        }
    }
}
