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
     * @param sql the text
     * @param parameters the values of the placeholders
     * @param readOnly true if a change of data must be refused
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
     * Names a term and perhaps a key: begin, commit, lookup, promise, promote.
     *
     * @param term the term
     * @param key the idempotency key, or null
     */
    public record TermRequest(long term, String key) {}

    /**
     * Asks for the standing.
     *
     * @param term the term of the position to wait for
     * @param offset the offset of the position to wait for
     * @param waitMillis the longest wait in ms
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
     * A standing on the wire.
     *
     * @param instance the instance
     * @param promised the promised term
     * @param primary true if it is the primary of that term
     * @param lastTerm the term of the last log entry
     * @param lastOffset the offset of the last log entry
     * @param lagMillis the staleness in ms, negative if unknown
     * @param contactMillis the time in ms since its primary answered it, negative if unknown
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
         * Writes a standing.
         *
         * @param standing the standing
         * @return its message
         */
        public static ReplicationStatusMessage of(ReplicationStatus standing) {
            return new ReplicationStatusMessage(
                    standing.instance().value(),
                    standing.promisedTerm().number(),
                    standing.isPrimary(),
                    standing.lastPosition().term().number(),
                    standing.lastPosition().offset(),
                    standing.lagMillis(),
                    standing.primaryContactAgeMillis());
        }

        /**
         * Reads the standing.
         *
         * @return the standing
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
     * An answer on the wire; a missing end mark means that it was cut short.
     *
     * @param refusal why nothing ran, or null
     * @param detail what the instance says of a refusal
     * @param columns the names of the columns
     * @param rows the rows
     * @param changed how many rows changed
     * @param replayed true if the key had been recorded before
     * @param standing the standing after the request
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
         * Writes an answer.
         *
         * @param answer a finished or refused statement
         * @return its message
         */
        public static Reply of(BackendResult answer) {
            if (answer instanceof BackendResult.Done done) {
                ReplicationStatusMessage standing = ReplicationStatusMessage.of(done.status());
                long end = done.rows().size();
                return new Reply(
                        null,
                        null,
                        done.columns(),
                        done.rows(),
                        done.affectedRowCount(),
                        done.isReplayed(),
                        standing,
                        end);
            }
            BackendResult.Refused refused = (BackendResult.Refused) answer;
            return new Reply(
                    refused.reason(), refused.detail(), List.of(), List.of(), 0, false, null, 0L);
        }

        /**
         * Reads the answer.
         *
         * @return the answer, {@link Answer.Lost} if it was cut short
         */
        public BackendResult toResult() {
            if (refusal != null) {
                return new BackendResult.Refused(refusal, detail == null ? "" : detail);
            }
            boolean whole = end != null && rows != null && end == rows.size() && standing != null;
            if (!whole) {
                return new BackendResult.NoResponse(true, "answer without its end mark");
            }
            return new BackendResult.Done(columns, rows, changed, replayed, standing.toStatus());
        }
    }
}
