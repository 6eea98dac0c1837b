package org.carobstage.front;

import static java.util.Objects.requireNonNull;

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
}
