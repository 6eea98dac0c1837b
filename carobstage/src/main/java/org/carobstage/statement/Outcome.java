package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobstage.backend.BackendResult;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/** What a caller is told of a statement. */
public sealed interface Outcome {
    /**
     * It ran.
     *
     * @param columns the names of the columns
     * @param rows the rows
     * @param changed how many rows changed
     * @param replayed true if the answer was recorded by an earlier run with the same key
     * @param seen what the session has seen now
     * @param instance the instance that ran it
     * @param replica true if that instance is a replica
     */
    record Done(
            List<String> columns,
            List<List<Object>> rows,
            long affectedRowCount,
            boolean isReplayed,
            LogPosition logPosition,
            InstanceId instance,
            boolean isReplica)
            implements Outcome {
        /** Checks the outcome. */
        public Done {
            requireNonNull(columns, "columns is null");
            requireNonNull(rows, "rows is null");
            requireNonNull(logPosition, "seen is null");
            requireNonNull(instance, "instance is null");
        }

        /**
         * Creates the outcome of an answer.
         *
         * @param answer the answer of an instance
         * @param replica true if that instance is a replica
         * @return the outcome
         */
        public static Done of(BackendResult.Done answer, boolean replica) {
            return new Done(
                    answer.columns(),
                    answer.rows(),
                    answer.affectedRowCount(),
                    answer.isReplayed(),
                    answer.status().lastPosition(),
                    answer.status().instance(),
                    replica);
        }
    }

    /**
     * It did not run and never will.
     *
     * @param code why
     * @param detail what was seen
     * @param retryAfter when a new try may help
     */
    record NotRun(ErrorCode code, String detail, Optional<Duration> retryAfter) implements Outcome {
        /** Checks the outcome. */
        public NotRun {
            requireNonNull(code, "code is null");
            requireNonNull(detail, "detail is null");
            requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /**
     * It may have run, and nothing proves either.
     *
     * @param detail what was seen
     */
    record Unknown(String detail) implements Outcome {
        /** Checks the outcome. */
        public Unknown {
            requireNonNull(detail, "detail is null");
        }
    }
}
