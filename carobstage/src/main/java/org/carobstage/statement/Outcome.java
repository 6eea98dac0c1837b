package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobstage.backend.BackendResult;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/** Outcome of a statement, as reported to the caller. */
public sealed interface Outcome {
    /**
     * The statement ran.
     *
     * @param columns the names of the columns
     * @param rows the rows
     * @param affectedRowCount the number of affected rows
     * @param isReplayed true if the result was recorded by an earlier run with the same key
     * @param logPosition the log position that the session has now observed
     * @param instance the instance that ran it
     * @param isReplica true if that instance is a replica
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
        /** Rejects null components. */
        public Done {
            requireNonNull(columns, "columns is null");
            requireNonNull(rows, "rows is null");
            requireNonNull(logPosition, "logPosition is null");
            requireNonNull(instance, "instance is null");
        }

        /**
         * Creates the outcome of a result.
         *
         * @param result the result of an instance
         * @param isReplica true if that instance is a replica
         * @return the outcome
         */
        public static Done of(BackendResult.Done result, boolean isReplica) {
            return new Done(
                    result.columns(),
                    result.rows(),
                    result.affectedRowCount(),
                    result.isReplayed(),
                    result.status().lastPosition(),
                    result.status().instance(),
                    isReplica);
        }
    }

    /**
     * The statement did not run and never will.
     *
     * @param code the reason
     * @param detail what was observed
     * @param retryAfter how long to wait before a retry, or empty if a retry does not help
     */
    record NotRun(ErrorCode code, String detail, Optional<Duration> retryAfter) implements Outcome {
        /** Rejects null components. */
        public NotRun {
            requireNonNull(code, "code is null");
            requireNonNull(detail, "detail is null");
            requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /**
     * The statement may have run; there is no proof either way.
     *
     * @param detail what was observed
     */
    record Unknown(String detail) implements Outcome {
        /** Rejects a null detail. */
        public Unknown {
            requireNonNull(detail, "detail is null");
        }
    }
}
