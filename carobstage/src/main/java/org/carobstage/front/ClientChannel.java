package org.carobstage.front;

import org.carobstage.sql.Failure;
import org.carobstage.sql.StatementResult;

/** Sends results and notifications to a connected client. */
public interface ClientChannel {
    /** Notifies the client that its session is open. */
    void sendReady();

    /**
     * Sends the reason why no session is opened, and closes the connection.
     *
     * @param failure the reason
     */
    void reject(Failure failure);

    /**
     * Sends the complete result of the client's oldest pending statement.
     *
     * @param result the result
     */
    void sendResult(StatementResult result);

    /** Closes the connection after all pending output has been delivered. */
    void close();
}
