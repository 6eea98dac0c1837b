package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import org.carobstage.backend.BackendResult;

/** Next step of a statement. */
public sealed interface StatementStep {
    /**
     * Returns the outcome to the caller.
     *
     * @param outcome the outcome
     */
    record Finish(Outcome outcome) implements StatementStep {
        /** Rejects a null outcome. */
        public Finish {
            requireNonNull(outcome, "outcome is null");
        }
    }

    /**
     * Sends the statement, perhaps not for the first time.
     *
     * @param progress the progress so far
     */
    record Send(StatementProgress progress) implements StatementStep {
        /** Rejects a null progress. */
        public Send {
            requireNonNull(progress, "progress is null");
        }
    }

    /**
     * Looks up the outcome that the primary has recorded for the statement's key.
     *
     * @param progress the progress so far
     */
    record LookUp(StatementProgress progress) implements StatementStep {
        /** Rejects a null progress. */
        public LookUp {
            requireNonNull(progress, "progress is null");
        }
    }

    /**
     * Confirms that a majority holds the result of the primary.
     *
     * @param result the result
     */
    record ConfirmQuorum(BackendResult.Done result) implements StatementStep {
        /** Rejects a null result. */
        public ConfirmQuorum {
            requireNonNull(result, "result is null");
        }
    }
}
