package org.carobstage.front;

import org.carobstage.sql.Failure;
import org.carobstage.sql.StatementResult;

/** The way back to a client. */
public interface ClientChannel {
    /** Tells the client that its session is open. */
    void sendReady();

    /**
     * Tells the client why it gets no session, and closes the connection.
     *
     * @param failure why
     */
    void reject(Failure failure);

    /**
     * Sends the whole answer to the client's oldest unanswered statement.
     *
     * @param answer the answer
     */
    void sendResult(StatementResult answer);

    /** Closes the connection once everything sent so far is delivered. */
    void close();
}
