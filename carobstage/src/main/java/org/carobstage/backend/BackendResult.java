package org.carobstage.backend;

import static java.util.Objects.requireNonNull;

import java.util.List;

/** Result of a request to an instance. */
public sealed interface BackendResult {
    /**
     * The instance completed the request.
     *
     * @param columns the names of the columns, empty for a change
     * @param rows the rows
     * @param affectedRowCount the number of affected rows
     * @param isReplayed true if the result was recorded earlier with the same key and nothing ran
     *     now
     * @param status the replication status of the instance: its last log position right after the
     *     statement ran, its lag right before
     */
    record Done(
            List<String> columns,
            List<List<Object>> rows,
            long affectedRowCount,
            boolean isReplayed,
            ReplicationStatus status)
            implements BackendResult {
        /** Rejects null components. */
        public Done {
            requireNonNull(columns, "columns is null");
            requireNonNull(rows, "rows is null");
            requireNonNull(status, "status is null");
        }
    }

    /**
     * The instance refused the request, and nothing ran.
     *
     * @param reason the reason
     * @param detail the instance's explanation
     */
    record Refused(Refusal reason, String detail) implements BackendResult {
        /** Rejects null components. */
        public Refused {
            requireNonNull(reason, "reason is null");
            requireNonNull(detail, "detail is null");
        }
    }

    /**
     * No response arrived.
     *
     * @param mayHaveBeenSent true if any part of the request may have reached the instance
     * @param detail what was observed
     */
    record NoResponse(boolean mayHaveBeenSent, String detail) implements BackendResult {
        /** Rejects a null detail. */
        public NoResponse {
            requireNonNull(detail, "detail is null");
        }
    }
}
