package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.LogPosition;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;

/** A connection to an instance with the state that earlier statements have left on it. */
public final class PooledConnection {
    private final InstanceConnectionPool pool;
    private final Optional<AccountName> account;
    private final Map<String, String> sessionVariables = new HashMap<>();
    private final Set<String> preparedStatements = new HashSet<>();
    private InstanceConnection connection;
    private boolean open = true;
    private boolean busy;
    private boolean pinned;
    private boolean used;
    private long holderNumber;
    private long busySinceNanos;
    private long idleSinceNanos;
    private boolean retired;
    private TransactionState state = TransactionState.IDLE;
    private ClockReading sentAt;
    private BiConsumer<StatementResult, Duration> resultObserver = (result, latency) -> {};
    private Optional<IdleTransaction> idleTransaction = Optional.empty();
    private boolean writeInFlight;

    PooledConnection(InstanceConnectionPool pool, Optional<AccountName> account) {
        this.pool = requireNonNull(pool, "pool is null");
        this.account = requireNonNull(account, "account is null");
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
     * Returns the session variables set on the connection.
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
     * Returns whether the connection is usable.
     *
     * @return false once it is lost or closed
     */
    public boolean isOpen() {
        return open;
    }

    /**
     * Returns the client account whose statements run on the connection.
     *
     * @return the account, or empty if the connection serves none
     */
    public Optional<AccountName> account() {
        return account;
    }

    /** Reserves the connection for a client's transaction, also between its statements. */
    void pin() {
        pinned = true;
    }

    /**
     * Sends a statement for the current holder of the connection.
     *
     * @param id the request's id, or empty for a statement of the proxy itself
     * @param required the log position that the instance must have reached to run it
     * @param statement the statement
     * @param callback called once, with empty if the connection is lost before the result arrives
     */
    public void send(
            String id,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<Optional<StatementResult>> callback) {
        ClockReading requestedAt = pool.now();
        sentAt = requestedAt;
        idleTransaction = Optional.empty();
        writeInFlight = statement.isWriteOrCommit() || statement instanceof Statement.Execute;
        connection.send(
                id,
                required,
                statement,
                result -> {
                    sentAt = null;
                    writeInFlight = false;
                    result.ifPresent(r -> state = r.transactionState());
                    pool.onResult(this, statement, result, requestedAt);
                    result.filter(r -> isQuery(statement))
                            .ifPresent(r -> resultObserver.accept(r, requestedAt.age(pool.now())));
                    runHolderCallback(() -> callback.accept(result));
                });
    }

    /**
     * Records that the transaction on the connection is idle until its next statement is sent.
     *
     * @param transaction the transaction
     */
    public void markTransactionIdle(IdleTransaction transaction) {
        idleTransaction = Optional.of(transaction);
    }

    Optional<IdleTransaction> idleTransaction() {
        return idleTransaction;
    }

    /** Passes the results of the current holder's queries to an observer, with their latencies. */
    void observeResults(BiConsumer<StatementResult, Duration> observer) {
        resultObserver = observer;
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
        if (open && state != TransactionState.IDLE) {
            send(id, Optional.empty(), new Statement.Rollback(), result -> pool.release(this));
        } else {
            pool.release(this);
        }
    }

    /** Passes the connection to a request, which holds it until it is released. */
    void grantTo(ConnectionRequest request) {
        runHolderCallback(() -> request.onGranted().accept(this));
    }

    /** Queries the status of the instance and then releases the connection. */
    void requestStatus(Runnable callback) {
        pool.sendControlCommand(this, new Statement.QueryStatus(), response -> callback.run());
    }

    /** Closes the connection; the instance rolls back an open transaction. */
    public void discard() {
        if (open) {
            open = false;
            connection.close();
            pool.removeConnection(this);
        }
    }

    /** Closes the connection unless it has been granted since it was selected as idle. */
    void discardIfIdle() {
        if (!busy) {
            discard();
        }
    }

    void attach(InstanceConnection newConnection) {
        connection = newConnection;
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

    InstanceConnectionPool pool() {
        return pool;
    }

    void markBusy(long nowNanos) {
        busy = true;
        busySinceNanos = nowNanos;
        holderNumber++;
    }

    /** Marks the connection as idle; returns whether it has served no request yet. */
    boolean markIdle(long nowNanos) {
        boolean isNew = !used;
        used = true;
        busy = false;
        pinned = false;
        idleTransaction = Optional.empty();
        idleSinceNanos = nowNanos;
        return isNew;
    }

    long busySinceNanos() {
        return busySinceNanos;
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

    /** Returns whether a statement that may be a write or a commit has no result yet. */
    boolean hasWriteInFlight() {
        return writeInFlight;
    }

    Optional<ClockReading> sentAt() {
        return Optional.ofNullable(sentAt);
    }

    void setSentAt(ClockReading time) {
        sentAt = time;
    }

    private static boolean isQuery(Statement statement) {
        return statement instanceof Statement.Read
                || statement instanceof Statement.Write
                || statement instanceof Statement.Execute;
    }

    /**
     * Runs a callback of the holder. If it fails, the holder no longer uses the connection, which
     * is closed unless the callback has released it.
     */
    private void runHolderCallback(Runnable callback) {
        long holder = holderNumber;
        if (!pool.runCallback(callback) && busy && holder == holderNumber) {
            discard();
        }
    }
}
