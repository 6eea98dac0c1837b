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
import org.carobstage.upstream.InstanceConnection.StatusResponse;

/** An open connection of a pool, with the state that earlier statements have left on it. */
final class PoolEntry {
    private final InstanceConnectionPool pool;
    private final Optional<AccountName> account;
    private final Map<String, String> sessionVariables = new HashMap<>();
    private final Set<String> preparedStatements = new HashSet<>();
    private InstanceConnection connection;
    private boolean open = true;
    private boolean busy;
    private boolean pinned;
    private boolean used;
    private long busySinceNanos;
    private long idleSinceNanos;
    private boolean retired;
    private int unansweredCount;
    private TransactionState state = TransactionState.IDLE;
    private ClockReading sentAt;
    private boolean writeInFlight;
    private BiConsumer<StatementResult, Duration> resultObserver = (result, latency) -> {};
    private Optional<IdleTransaction> idleTransaction = Optional.empty();

    PoolEntry(InstanceConnectionPool pool, Optional<AccountName> account) {
        this.pool = requireNonNull(pool, "pool is null");
        this.account = requireNonNull(account, "account is null");
    }

    InstanceEntry instance() {
        return pool.entry();
    }

    Map<String, String> sessionVariables() {
        return sessionVariables;
    }

    Set<String> preparedStatements() {
        return preparedStatements;
    }

    boolean isOpen() {
        return open;
    }

    Optional<AccountName> account() {
        return account;
    }

    void pin() {
        pinned = true;
    }

    /** Sends a statement; the callback gets empty if the connection is lost before the result. */
    void send(
            String id,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<Optional<StatementResult>> callback) {
        ClockReading requestedAt = pool.now();
        sentAt = requestedAt;
        unansweredCount++;
        idleTransaction = Optional.empty();
        writeInFlight = statement.isWriteOrCommit() || statement instanceof Statement.Execute;
        connection.send(
                id,
                required,
                statement,
                result -> {
                    sentAt = null;
                    unansweredCount--;
                    writeInFlight = false;
                    result.ifPresent(r -> state = r.transactionState());
                    pool.onResult(statement, result, requestedAt);
                    result.filter(r -> isQuery(statement))
                            .ifPresent(r -> resultObserver.accept(r, requestedAt.age(pool.now())));
                    callback.accept(result);
                });
    }

    /**
     * Returns the connection to the pool without an open transaction. Before the results of all
     * statements are known, they might still open one, so the connection is closed instead.
     */
    void release(String id) {
        if (open && unansweredCount > 0) {
            discard();
        } else if (open && state != TransactionState.IDLE) {
            send(id, Optional.empty(), new Statement.Rollback(), result -> endRollback());
        } else {
            pool.release(this);
        }
    }

    /** A rollback may be rejected without being executed, which leaves the transaction open. */
    private void endRollback() {
        if (open && state != TransactionState.IDLE) {
            discard();
        } else {
            pool.release(this);
        }
    }

    /** Queries the status of the instance; no other holder gets the connection meanwhile. */
    void queryStatus(Consumer<StatusResponse> callback) {
        pool.queryStatus(this, callback);
    }

    /** Queries the status of the instance and then releases the connection. */
    void requestStatus(Runnable callback) {
        pool.sendControlCommand(this, new Statement.QueryStatus(), response -> callback.run());
    }

    /** Closes the connection; the instance rolls back an open transaction. */
    void discard() {
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

    /** Runs a callback; returns false if it failed, which must not affect other requests. */
    boolean runCallback(Runnable callback) {
        return pool.runCallback(callback);
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

    Optional<ClockReading> sentAt() {
        return Optional.ofNullable(sentAt);
    }

    void setSentAt(ClockReading time) {
        sentAt = time;
    }

    /** Returns whether a statement that may be a write or a commit has no result yet. */
    boolean hasWriteInFlight() {
        return writeInFlight;
    }

    void markTransactionIdle(IdleTransaction transaction) {
        idleTransaction = Optional.of(transaction);
    }

    Optional<IdleTransaction> idleTransaction() {
        return idleTransaction;
    }

    void observeResults(BiConsumer<StatementResult, Duration> observer) {
        resultObserver = observer;
    }

    private static boolean isQuery(Statement statement) {
        return statement instanceof Statement.Read
                || statement instanceof Statement.Write
                || statement instanceof Statement.Execute;
    }
}
