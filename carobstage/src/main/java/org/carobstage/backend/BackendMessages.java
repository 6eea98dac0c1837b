package org.carobstage.backend;

import java.util.List;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/** The JSON messages between an entry VM and an instance. */
public final class BackendMessages {
    private BackendMessages() {}

    /**
     * Runs a statement.
     *
     * @param term the term under which it may run
     * @param sql the SQL text
     * @param parameters the values of the placeholders
     * @param readOnly true if a change of data must be rejected
     * @param atLeastTerm the term of the position that the log must cover
     * @param atLeastOffset the offset of the position that the log must cover
     * @param key the idempotency key, or null
     */
    public record ExecuteRequest(
            long term,
            String sql,
            List<Object> parameters,
            boolean readOnly,
            long atLeastTerm,
            long atLeastOffset,
            String key) {}

    /**
     * Body of the requests begin, commit, lookup, promise and promote.
     *
     * @param term the term
     * @param key the idempotency key, or null
     */
    public record TermRequest(long term, String key) {}

    /**
     * Requests the replication status.
     *
     * @param term the term of the position to wait for
     * @param offset the offset of the position to wait for
     * @param waitMillis the maximum wait in ms
     */
    public record ReplicationStatusRequest(long term, long offset, long waitMillis) {}

    /**
     * Makes an instance follow a primary.
     *
     * @param term the term
     * @param primary the primary's name
     * @param address the primary's address
     */
    public record FollowRequest(long term, String primary, String address) {}

    /**
     * Replication status of an instance.
     *
     * @param instance the instance
     * @param promised the promised term
     * @param primary true if it is the primary of that term
     * @param lastTerm the term of the last log entry
     * @param lastOffset the offset of the last log entry
     * @param lagMillis the staleness in ms, negative if unknown
     * @param contactMillis the time in ms since its primary last responded to it, negative if
     *     unknown
     */
    public record ReplicationStatusMessage(
            String instance,
            long promised,
            boolean primary,
            long lastTerm,
            long lastOffset,
            long lagMillis,
            long contactMillis) {
        /**
         * Creates the message of a replication status.
         *
         * @param status the status
         * @return the message
         */
        public static ReplicationStatusMessage of(ReplicationStatus status) {
            return new ReplicationStatusMessage(
                    status.instance().value(),
                    status.promisedTerm().number(),
                    status.isPrimary(),
                    status.lastPosition().term().number(),
                    status.lastPosition().offset(),
                    status.lagMillis(),
                    status.primaryContactAgeMillis());
        }

        /**
         * Converts the message to a replication status.
         *
         * @return the status
         */
        public ReplicationStatus toStatus() {
            return new ReplicationStatus(
                    InstanceId.of(instance),
                    Term.of(promised),
                    primary,
                    LogPosition.of(lastTerm, lastOffset),
                    lagMillis,
                    contactMillis);
        }
    }

    /**
     * Response to a request. A missing end mark means that it was truncated.
     *
     * @param refusal why the request was refused, or null
     * @param detail the instance's explanation of a refusal
     * @param columns the names of the columns
     * @param rows the rows
     * @param changed the number of affected rows
     * @param replayed true if the result was recorded by an earlier request with the same key
     * @param standing the replication status after the request
     * @param end the end mark: the number of rows
     */
    public record Reply(
            Refusal refusal,
            String detail,
            List<String> columns,
            List<List<Object>> rows,
            long changed,
            boolean replayed,
            ReplicationStatusMessage standing,
            Long end) {
        /**
         * Creates the response of a result.
         *
         * @param result a completed or refused request
         * @return the response
         */
        public static Reply of(BackendResult result) {
            if (result instanceof BackendResult.Done done) {
                ReplicationStatusMessage status = ReplicationStatusMessage.of(done.status());
                long end = done.rows().size();
                return new Reply(
                        null,
                        null,
                        done.columns(),
                        done.rows(),
                        done.affectedRowCount(),
                        done.isReplayed(),
                        status,
                        end);
            }
            BackendResult.Refused refused = (BackendResult.Refused) result;
            return new Reply(
                    refused.reason(), refused.detail(), List.of(), List.of(), 0, false, null, 0L);
        }

        /**
         * Converts the response to a result.
         *
         * @return the result, {@link BackendResult.NoResponse} if the response was truncated
         */
        public BackendResult toResult() {
            if (refusal != null) {
                return new BackendResult.Refused(refusal, detail == null ? "" : detail);
            }
            boolean isComplete =
                    end != null && rows != null && end == rows.size() && standing != null;
            if (!isComplete) {
                return new BackendResult.NoResponse(true, "response truncated: no end mark");
            }
            return new BackendResult.Done(columns, rows, changed, replayed, standing.toStatus());
        }
    }
}
