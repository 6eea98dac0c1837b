package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.sql.Statement;

/**
 * A statement that a client has prepared.
 *
 * @param isWrite whether it writes
 * @param queryText the statement text
 */
record PreparedStatement(boolean isWrite, String queryText) {
    PreparedStatement {
        requireNonNull(queryText, "queryText is null");
    }

    /**
     * Returns the name under which the statement is prepared at instances, for all sessions.
     *
     * @return a name that is unique to the statement
     */
    String sharedName() {
        return (isWrite ? "w_" : "r_") + queryText.replace(' ', '_');
    }

    /** Replaces the client's name of a prepared statement by the name shared by all sessions. */
    static Statement withSharedName(Statement statement, Optional<PreparedStatement> prepared) {
        if (statement instanceof Statement.Execute execute && prepared.isPresent()) {
            return new Statement.Execute(prepared.get().sharedName(), execute.arguments());
        }
        return statement;
    }
}
