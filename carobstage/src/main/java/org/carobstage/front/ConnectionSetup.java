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
 * Gives a pooled connection the values and prepared statements that a session relies on. Prepared
 * statements are renamed after their text, so that sessions share them and names never collide.
 */
final class ConnectionSetup {
    /**
     * Beyond this many prepared statements a connection is reset, to bound the instance's memory.
     */
    private static final int MAX_PREPARED = 256;

    private ConnectionSetup() {}

    /**
     * Prepares a connection.
     *
     * @param connection the connection
     * @param values the values of the session
     * @param prepared the prepared statement that is to be executed, if any
     * @param then told whether the connection is ready
     */
    static void apply(
            PooledConnection connection,
            Map<String, String> values,
            Optional<PreparedStatement> prepared,
            Consumer<Boolean> then) {
        List<Statement> steps = new ArrayList<>();
        boolean foreign = !values.keySet().containsAll(connection.sessionVariables().keySet());
        boolean full =
                prepared.isPresent()
                        && !connection.preparedStatements().contains(prepared.get().sharedName())
                        && connection.preparedStatements().size() >= MAX_PREPARED;
        boolean reset = foreign || full;
        if (reset) {
            steps.add(new Statement.Reset());
        }
        values.entrySet().stream()
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
            then.accept(true);
        } else {
            send(connection, List.copyOf(steps), then);
        }
    }

    /** Sends all steps in one flight; the statement itself waits until every one has succeeded. */
    private static void send(
            PooledConnection connection, List<Statement> steps, Consumer<Boolean> then) {
        boolean[] failed = new boolean[1];
        int[] left = {steps.size()};
        for (Statement step : steps) {
            connection.send(
                    "",
                    Optional.empty(),
                    step,
                    answer -> {
                        if (answer.filter(StatementResult::isSuccessful).isPresent()) {
                            note(connection, step);
                        } else {
                            failed[0] = true;
                        }
                        if (--left[0] == 0) {
                            finish(connection, !failed[0], then);
                        }
                    });
        }
    }

    private static void finish(PooledConnection connection, boolean ready, Consumer<Boolean> then) {
        if (!ready) {
            // What the connection now holds is unknown, so nobody may use it again.
            connection.discard();
        }
        then.accept(ready);
    }

    private static void note(PooledConnection connection, Statement step) {
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
