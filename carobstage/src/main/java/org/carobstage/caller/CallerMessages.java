package org.carobstage.caller;

import java.util.List;

/** The JSON messages between a caller and an entry VM. */
public final class CallerMessages {
    private CallerMessages() {}

    /**
     * A statement from a caller.
     *
     * @param group the database group
     * @param sql the SQL text
     * @param parameters the values of the placeholders, or null
     */
    public record StatementMessage(String group, String sql, List<Object> parameters) {}

    /**
     * The response to a request that begins a transaction.
     *
     * @param transaction the id of the open transaction
     * @param outcome always {@code done}
     */
    public record TransactionMessage(String transaction, String outcome) {}

    /**
     * The response to a statement that ran; {@code end} is its last field.
     *
     * @param columns the names of the columns
     * @param rows the values of each row, in the order of the columns
     * @param changed the number of rows changed
     * @param replayed true if this is the result of an earlier run with the same idempotency key
     * @param instance the id of the instance that ran the statement
     * @param replica true if that instance is a replica
     * @param outcome always {@code done}
     * @param end the number of rows; marks the end of the response
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
