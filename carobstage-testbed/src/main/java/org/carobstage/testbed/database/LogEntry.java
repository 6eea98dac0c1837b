package org.carobstage.testbed.database;

import java.util.List;
import org.carobstage.backend.BackendMessages.Reply;

/**
 * One committed transaction in the log of a group.
 *
 * @param term the term whose primary committed it
 * @param committedMillis the primary's time of day at the commit, in ms
 * @param changes the statements that changed data, in execution order
 * @param key the idempotency key, or null
 * @param reply the primary's reply, for a retry with the same key; null without a key
 */
public record LogEntry(
        long term, long committedMillis, List<Change> changes, String key, Reply reply) {
    /**
     * A statement that changed data.
     *
     * @param sql the text of the statement
     * @param parameters the values of the placeholders
     */
    public record Change(String sql, List<Object> parameters) {}

    /**
     * Creates the no-op entry that a primary commits at the start of its term.
     *
     * @param term the term
     * @param nowMillis the time of day in ms
     * @return an entry without changes
     */
    public static LogEntry noOp(long term, long nowMillis) {
        return new LogEntry(term, nowMillis, List.of(), null, null);
    }
}
