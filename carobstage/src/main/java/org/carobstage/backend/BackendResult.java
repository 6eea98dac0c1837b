package org.carobstage.backend;

import static java.util.Objects.requireNonNull;

import java.util.List;

/** What became of an exchange with an instance. */
public sealed interface BackendResult {
    /**
     * The instance ran the statement.
     *
     * @param columns the names of the columns, empty for a change
     * @param rows the rows
     * @param changed how many rows changed
     * @param replayed true if the key had been recorded before and nothing ran now
     * @param standing the standing of the instance: its log's end right after the statement ran,
     *     its lag right before
     */
    record Done(
            List<String> columns,
            List<List<Object>> rows,
            long affectedRowCount,
            boolean isReplayed,
            ReplicationStatus status)
            implements BackendResult {
        /** Checks the answer. */
        public Done {
            requireNonNull(columns, "columns is null");
            requireNonNull(rows, "rows is null");
            requireNonNull(status, "standing is null");
        }
    }

    /**
     * The instance refused, and nothing ran.
     *
     * @param reason why
     * @param detail what the instance said
     */
    record Refused(Refusal reason, String detail) implements BackendResult {
        /** Checks the answer. */
        public Refused {
            requireNonNull(reason, "reason is null");
            requireNonNull(detail, "detail is null");
        }
    }

    /**
     * No answer came.
     *
     * @param sent true if any part of the request may have reached the instance
     * @param detail what was seen
     */
    record NoResponse(boolean mayHaveBeenSent, String detail) implements BackendResult {
        /** Checks the answer. */
        public NoResponse {
            requireNonNull(detail, "detail is null");
        }
    }
}
