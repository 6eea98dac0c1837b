package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.AccountName;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.upstream.InstanceConnection.StatusResponse;

/**
 * The use of a pooled connection by one holder. It ends with the first release, after which the
 * holder can neither send statements on the connection nor release or close it again, because the
 * connection may serve another holder.
 */
public final class PooledConnection {
    private final PoolEntry entry;
    private boolean released;

    PooledConnection(PoolEntry entry) {
        this.entry = requireNonNull(entry, "entry is null");
    }

    /**
     * Returns the instance.
     *
     * @return the instance's entry
     */
    public InstanceEntry instance() {
        return entry.instance();
    }

    /**
     * Returns the session variables set on the connection.
     *
     * @return the values by name
     */
    public Map<String, String> sessionVariables() {
        return entry.sessionVariables();
    }

    /**
     * Returns the names of the statements prepared on the connection.
     *
     * @return the names
     */
    public Set<String> preparedStatements() {
        return entry.preparedStatements();
    }

    /**
     * Returns whether the holder can use the connection.
     *
     * @return false once it is lost, closed or released
     */
    public boolean isOpen() {
        return !released && entry.isOpen();
    }

    /**
     * Returns the client account whose statements run on the connection.
     *
     * @return the account, or empty if the connection serves none
     */
    public Optional<AccountName> account() {
        return entry.account();
    }

    /** Reserves the connection for a client's transaction, also between its statements. */
    void pin() {
        entry.pin();
    }

    /**
     * Sends a statement for the current holder of the connection.
     *
     * @param id the request's id, or empty for a statement of the proxy itself
     * @param required the log position that the instance must have reached to run it
     * @param statement the statement
     * @param callback called once, with empty if the connection is lost before the result arrives
     *     or was released before
     */
    public void send(
            String id,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<Optional<StatementResult>> callback) {
        if (released) {
            callback.accept(Optional.empty());
        } else {
            entry.send(
                    id,
                    required,
                    statement,
                    result -> runHolderCallback(() -> callback.accept(result)));
        }
    }

    /**
     * Records that the transaction on the connection is idle until its next statement is sent.
     *
     * @param transaction the transaction
     */
    public void markTransactionIdle(IdleTransaction transaction) {
        if (!released) {
            entry.markTransactionIdle(transaction);
        }
    }

    /** Passes the results of the holder's queries to an observer, with their latencies. */
    void observeResults(BiConsumer<StatementResult, Duration> observer) {
        entry.observeResults(observer);
    }

    boolean isPinned() {
        return entry.isPinned();
    }

    InstanceConnectionPool pool() {
        return entry.pool();
    }

    /** Releases the connection; an open transaction is rolled back first. */
    public void release() {
        release("");
    }

    /**
     * Releases the connection; an open transaction is rolled back first.
     *
     * @param id the id of the client's request to roll back, or empty if there was none
     */
    public void release(String id) {
        if (!released) {
            released = true;
            entry.release(id);
        }
    }

    /** Passes the connection to a request, which holds it until it is released. */
    void grantTo(ConnectionRequest request) {
        runHolderCallback(() -> request.onGranted().accept(this));
    }

    /**
     * Queries the status of the instance on this connection, which the holder keeps.
     *
     * @param callback called once, with no response if the connection is lost or was released
     */
    public void queryStatus(Consumer<StatusResponse> callback) {
        if (released) {
            callback.accept(new StatusResponse(false, Optional.empty()));
        } else {
            entry.queryStatus(response -> runHolderCallback(() -> callback.accept(response)));
        }
    }

    /** Queries the status of the instance and then releases the connection. */
    void requestStatus(Runnable callback) {
        released = true;
        entry.requestStatus(callback);
    }

    /** Closes the connection; the instance rolls back an open transaction. */
    public void discard() {
        if (!released) {
            released = true;
            entry.discard();
        }
    }

    /**
     * Runs a callback of the holder. If it fails, the holder no longer uses the connection, which
     * is closed unless the callback has released it.
     */
    private void runHolderCallback(Runnable callback) {
        if (!entry.runCallback(callback)) {
            discard();
        }
    }
}
