package org.carobstage.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.upstream.PooledConnection;

/**
 * Sets the session variables and prepared statements of a session on a pooled connection. Prepared
 * statements are named after their text, so that sessions share them and names never collide.
 */
final class ConnectionSetup {
    /**
     * Prepared statements per connection. A connection that would exceed the limit is reset, to
     * bound the memory use of the instance.
     */
    private static final int MAX_PREPARED = 256;

    private ConnectionSetup() {}

    /**
     * Sets up a connection for a statement.
     *
     * @param connection the connection
     * @param sessionVariables the session variables
     * @param prepared the prepared statement to be executed, if any
     * @param callback receives true if the set-up succeeded, false if the connection was discarded
     */
    static void apply(
            PooledConnection connection,
            Map<String, String> sessionVariables,
            Optional<PreparedStatement> prepared,
            Consumer<Boolean> callback) {
        List<Statement> steps = new ArrayList<>();
        boolean hasStaleVariables =
                !sessionVariables.keySet().containsAll(connection.sessionVariables().keySet());
        boolean preparedLimitReached =
                prepared.isPresent()
                        && !connection.preparedStatements().contains(prepared.get().sharedName())
                        && connection.preparedStatements().size() >= MAX_PREPARED;
        boolean reset = hasStaleVariables || preparedLimitReached;
        if (reset) {
            steps.add(new Statement.Reset());
        }
        sessionVariables.entrySet().stream()
                .filter(
                        e ->
                                reset
                                        || !e.getValue()
                                                .equals(
                                                        connection
                                                                .sessionVariables()
                                                                .get(e.getKey())))
                .map(e -> new Statement.SetVariable(e.getKey(), e.getValue()))
                .forEach(steps::add);
        prepared.filter(p -> reset || !connection.preparedStatements().contains(p.sharedName()))
                .map(p -> new Statement.Prepare(p.sharedName(), p.isWrite(), p.queryText()))
                .ifPresent(steps::add);
        if (steps.isEmpty()) {
            callback.accept(true);
        } else {
            send(connection, List.copyOf(steps), callback);
        }
    }

    /** Pipelines all steps; the statement itself is sent only after every step has succeeded. */
    private static void send(
            PooledConnection connection, List<Statement> steps, Consumer<Boolean> callback) {
        boolean[] failed = new boolean[1];
        int[] pendingCount = {steps.size()};
        for (Statement step : steps) {
            connection.send(
                    "",
                    Optional.empty(),
                    step,
                    result -> {
                        if (result.filter(StatementResult::isSuccessful).isPresent()) {
                            recordStep(connection, step);
                        } else {
                            failed[0] = true;
                        }
                        if (--pendingCount[0] == 0) {
                            finish(connection, !failed[0], callback);
                        }
                    });
        }
    }

    private static void finish(
            PooledConnection connection, boolean ready, Consumer<Boolean> callback) {
        if (!ready) {
            // The state of the connection is unknown, so it must not be reused.
            connection.discard();
        }
        callback.accept(ready);
    }

    private static void recordStep(PooledConnection connection, Statement step) {
        if (step instanceof Statement.Reset) {
            connection.sessionVariables().clear();
            connection.preparedStatements().clear();
        } else if (step instanceof Statement.SetVariable set) {
            connection.sessionVariables().put(set.name(), set.value());
        } else if (step instanceof Statement.Prepare prepare) {
            connection.preparedStatements().add(prepare.name());
        }
    }
}
