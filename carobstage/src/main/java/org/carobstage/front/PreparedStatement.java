package org.carobstage.front;

import static java.util.Objects.requireNonNull;

/**
 * A statement that a client has prepared.
 *
 * @param write whether it writes
 * @param shape the prepared text
 */
record PreparedStatement(boolean isWrite, String queryText) {
    PreparedStatement {
        requireNonNull(queryText, "shape is null");
    }

    /**
     * Returns the name under which connections to instances prepare it for all sessions.
     *
     * @return a name that differs for different statements
     */
    String sharedName() {
        return (isWrite ? "w_" : "r_") + queryText.replace(' ', '_');
    }
}
