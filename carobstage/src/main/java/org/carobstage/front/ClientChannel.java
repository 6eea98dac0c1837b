package org.carobstage.front;

import org.carobstage.sql.Answer;
import org.carobstage.sql.Failure;

/** The way back to a client. */
public interface ClientChannel {
    /** Tells the client that its session is open. */
    void ready();

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
    void answer(Answer answer);

    /** Closes the connection once everything sent so far is delivered. */
    void close();
}
