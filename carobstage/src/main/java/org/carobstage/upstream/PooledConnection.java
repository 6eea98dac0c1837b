package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;

/** A connection to an instance with what its past has left on it. */
public final class PooledConnection {
    private final InstanceConnectionPool pool;
    private final Map<String, String> sessionVariables = new HashMap<>();
    private final Set<String> preparedStatements = new HashSet<>();
    private InstanceConnection connection;
    private boolean open = true;
    private boolean busy;
    private boolean pinned;
    private long idleSinceNanos;
    private boolean retired;
    private TransactionState state = TransactionState.IDLE;
    private ClockReading sentAt;

    PooledConnection(InstanceConnectionPool pool) {
        this.pool = requireNonNull(pool, "pool is null");
    }

    /**
     * Returns the instance.
     *
     * @return the instance's entry
     */
    public InstanceEntry instance() {
        return pool.entry();
    }

    /**
     * Returns the session values set on the connection.
     *
     * @return the values by name
     */
    public Map<String, String> sessionVariables() {
        return sessionVariables;
    }

    /**
     * Returns the names of the statements prepared on the connection.
     *
     * @return the names
     */
    public Set<String> preparedStatements() {
        return preparedStatements;
    }

    /**
     * Tells whether the connection can be used.
     *
     * @return false once it is lost or closed
     */
    public boolean isOpen() {
        return open;
    }

    /** Notes that a client's transaction keeps the connection, also while it sends nothing. */
    void pin() {
        pinned = true;
    }

    /**
     * Sends a statement of the user that holds the connection.
     *
     * @param id the request's id, or empty for a statement of the proxy itself
     * @param required the log position that the instance must have to run it
     * @param statement the statement
     * @param whenAnswered called once, with empty if the connection is lost before the answer
     */
    public void send(
            String id,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<Optional<StatementResult>> whenAnswered) {
        ClockReading asked = pool.now();
        sentAt = asked;
        connection.send(
                id,
                required,
                statement,
                answer -> {
                    sentAt = null;
                    answer.ifPresent(a -> state = a.transactionState());
                    pool.onAnswer(this, statement, answer, asked);
                    whenAnswered.accept(answer);
                });
    }

    /** Gives the connection back; an open transaction is rolled back first. */
    public void release() {
        release("");
    }

    /**
     * Gives the connection back; an open transaction is rolled back first.
     *
     * @param id the id of the client's request to roll back, or empty if there was none
     */
    public void release(String id) {
        if (open && state != TransactionState.IDLE) {
            send(id, Optional.empty(), new Statement.Rollback(), answer -> pool.release(this));
        } else {
            pool.release(this);
        }
    }

    /** Asks the instance for its status and gives the connection back. */
    void requestStatus(Runnable then) {
        pool.sendControlCommand(this, new Statement.QueryStatus(), answer -> then.run());
    }

    /** Closes the connection, so that the instance rolls an open transaction back. */
    public void discard() {
        if (open) {
            open = false;
            connection.close();
            pool.removeConnection(this);
        }
    }

    void attach(InstanceConnection opened) {
        connection = opened;
    }

    InstanceConnection delegate() {
        return connection;
    }

    void markLost() {
        open = false;
    }

    boolean isBusy() {
        return busy;
    }

    void markBusy() {
        busy = true;
    }

    void markIdle(long nowNanos) {
        busy = false;
        pinned = false;
        idleSinceNanos = nowNanos;
    }

    boolean isPinned() {
        return pinned;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void markRetired() {
        retired = true;
    }

    boolean isRetired() {
        return retired;
    }

    Optional<ClockReading> sentAt() {
        return Optional.ofNullable(sentAt);
    }

    void setSentAt(ClockReading moment) {
        sentAt = moment;
    }
}
