package org.carobstage.caller;

import java.util.List;

/** The JSON messages between a caller and an entry VM. */
public final class CallerMessages {
    private CallerMessages() {}

    /**
     * A statement from a caller.
     *
     * @param group the database group
     * @param sql the text
     * @param parameters the values of the placeholders, or null
     */
    public record StatementMessage(String group, String sql, List<Object> parameters) {}

    /**
     * The answer to a request for a transaction.
     *
     * @param transaction the id of the open transaction
     * @param outcome always {@code done}
     */
    public record TransactionMessage(String transaction, String outcome) {}

    /**
     * The answer to a statement that ran; the end mark comes last.
     *
     * @param columns the names of the columns
     * @param rows the rows
     * @param changed how many rows changed
     * @param replayed true if an earlier run with the same key is answered
     * @param instance the instance that ran it
     * @param replica true if that instance is a replica
     * @param outcome always {@code done}
     * @param end the end mark: the number of rows
     */
    public record StatementResultMessage(
            List<String> columns,
            List<List<Object>> rows,
            long changed,
            boolean replayed,
            String instance,
            boolean replica,
            String outcome,
            long end) {}
}
