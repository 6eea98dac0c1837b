package org.carobstage.testbed.database;

import java.util.List;
import org.carobstage.backend.BackendMessages.Reply;

/**
 * One committed transaction in the log of a group.
 *
 * @param term the term whose primary committed it
 * @param committedMillis the primary's time of day at the commit, in ms
 * @param changes the statements that changed data, in their order
 * @param key the idempotency key, or null
 * @param reply what the primary answered, for a retry with the same key; null without a key
 */
public record LogEntry(
        long term, long committedMillis, List<Change> changes, String key, Reply reply) {
    /**
     * A statement that changed data.
     *
     * @param sql the text
     * @param parameters the values of the placeholders
     */
    public record Change(String sql, List<Object> parameters) {}

    /**
     * Creates the entry with which a primary starts its term.
     *
     * @param term the term
     * @param nowMillis the time of day in ms
     * @return an entry that changes nothing
     */
    public static LogEntry noOp(long term, long nowMillis) {
        return new LogEntry(term, nowMillis, List.of(), null, null);
    }
}
