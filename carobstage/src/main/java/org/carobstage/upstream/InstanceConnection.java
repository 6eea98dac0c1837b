package org.carobstage.upstream;

import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;

/** An open connection to an instance; callbacks run on the event loop thread. */
public interface InstanceConnection {
    /**
     * Sends a statement; results arrive in the order of the statements.
     *
     * @param id the request's id, or empty for a statement of the proxy itself
     * @param required the log position that the instance must have reached to run it
     * @param statement the statement
     * @param callback called once, with empty if the connection is lost before the result arrives
     */
    void send(
            String id,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<Optional<StatementResult>> callback);

    /**
     * Sends a control command, to which the instance responds with its status.
     *
     * @param statement the control command
     * @param callback called once
     */
    void sendControlCommand(Statement statement, Consumer<StatusResponse> callback);

    /**
     * Closes the connection; the instance rolls an open transaction back. If statements are
     * unanswered, the connection is reset: what was not transmitted yet is discarded, and an
     * instance that has not responded for a while can't acknowledge what it reads later.
     */
    void close();

    /**
     * The response to a control command.
     *
     * @param hasResponse true if any response arrived, also one that reports that all slots are
     *     taken
     * @param status the status, if the response contains it
     */
    record StatusResponse(boolean hasResponse, Optional<InstanceStatus> status) {}
}
