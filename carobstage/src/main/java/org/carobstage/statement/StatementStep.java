package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import org.carobstage.backend.BackendResult;

/** What to do next with a statement. */
public sealed interface StatementStep {
    /**
     * Tell the caller.
     *
     * @param outcome the outcome
     */
    record Finish(Outcome outcome) implements StatementStep {
        /** Checks the step. */
        public Finish {
            requireNonNull(outcome, "outcome is null");
        }
    }

    /**
     * Send the statement, again if it was sent before.
     *
     * @param progress what has become of it so far
     */
    record Send(StatementProgress progress) implements StatementStep {
        /** Checks the step. */
        public Send {
            requireNonNull(progress, "progress is null");
        }
    }

    /**
     * Ask the primary what is recorded for the statement's key.
     *
     * @param progress what has become of it so far
     */
    record LookUp(StatementProgress progress) implements StatementStep {
        /** Checks the step. */
        public LookUp {
            requireNonNull(progress, "progress is null");
        }
    }

    /**
     * Prove that a majority holds what the primary answered.
     *
     * @param done the answer
     */
    record ConfirmQuorum(BackendResult.Done result) implements StatementStep {
        /** Checks the step. */
        public ConfirmQuorum {
            requireNonNull(result, "done is null");
        }
    }
}
