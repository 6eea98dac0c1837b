package org.carobstage.upstream;

import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;

/** An open connection to an instance; callbacks run on the thread of the event loop. */
public interface InstanceConnection {
    /**
     * Sends a statement; answers come in the order of the statements.
     *
     * @param id the request's id, or empty for a statement of the proxy itself
     * @param required the log position that the instance must have to run it
     * @param statement the statement
     * @param whenAnswered called once, with empty if the connection is lost before the answer
     */
    void send(
            String id,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<Optional<StatementResult>> whenAnswered);

    /**
     * Sends a statement that an instance answers with its status.
     *
     * @param statement the statement
     * @param whenAnswered called once
     */
    void sendControlCommand(Statement statement, Consumer<StatusResponse> whenAnswered);

    /** Closes the connection; the instance rolls an open transaction back. */
    void close();

    /**
     * What became of a question for the status.
     *
     * @param answered whether any answer came, perhaps that all slots are taken
     * @param status the status, if it was given
     */
    record StatusResponse(boolean hasAnswer, Optional<InstanceStatus> status) {}
}
