package org.carobstage.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.freshness.ClockReading;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.InstanceConnection.StatusResponse;

/** Control commands to one instance; where no connection is kept open, they wait for an opening. */
final class ControlCommands {
    private final InstanceConnectionPool pool;
    private final Deque<Command> waiting = new ArrayDeque<>();

    private ControlCommands(InstanceConnectionPool pool) {
        this.pool = pool;
    }

    static ControlCommands of(InstanceConnectionPool pool) {
        return new ControlCommands(pool);
    }

    /** Sends a command on a busy connection, which is released with the response. */
    void send(PoolEntry connection, Statement statement, Consumer<StatusResponse> callback) {
        sendAndKeep(
                connection,
                statement,
                response -> {
                    pool.runCallback(() -> callback.accept(response));
                    if (connection.isOpen()) {
                        pool.release(connection);
                    }
                });
    }

    /** Sends a command on a busy connection, which its holder keeps. */
    void sendAndKeep(PoolEntry connection, Statement statement, Consumer<StatusResponse> callback) {
        ClockReading sentAt = pool.now();
        connection.setSentAt(sentAt);
        connection
                .delegate()
                .sendControlCommand(
                        statement,
                        response -> {
                            pool.onStatusResponse(connection, response, sentAt);
                            callback.accept(response);
                        });
    }

    void addWaiting(Statement statement, Consumer<StatusResponse> callback) {
        waiting.add(new Command(statement, callback));
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    void sendNext(PoolEntry connection) {
        Command command = waiting.remove();
        send(connection, command.statement(), command.callback());
    }

    /** Ends the waiting commands without a response. */
    void failWaiting() {
        List<Command> failed = List.copyOf(waiting);
        waiting.clear();
        StatusResponse none = new StatusResponse(false, Optional.empty());
        failed.forEach(c -> pool.runCallback(() -> c.callback().accept(none)));
    }

    private record Command(Statement statement, Consumer<StatusResponse> callback) {}
}
