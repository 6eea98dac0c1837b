package org.carobstage.testbed.database;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.carobstage.backend.BackendMessages.ExecuteRequest;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.testbed.database.LogEntry.Change;

/** Session of one connection, with at most one open transaction. */
public final class DatabaseSession implements AutoCloseable {
    private final DatabaseInstance instance;
    private final Connection connection;
    private final List<Change> transactionChanges = new ArrayList<>();
    private Term transactionTerm;
    private boolean closed;

    DatabaseSession(DatabaseInstance instance, Connection connection) {
        this.instance = instance;
        this.connection = connection;
    }

    /**
     * Executes a statement; without an open transaction it is committed immediately.
     *
     * @param request the statement
     * @return the result
     */
    public synchronized BackendResult execute(ExecuteRequest request) {
        Term term = Term.of(request.term());
        Optional<BackendResult> refusal = instance.checkTerm(term, !request.readOnly());
        if (refusal.isPresent()) {
            return refusal.get();
        }
        LogPosition minLogPosition = LogPosition.of(request.atLeastTerm(), request.atLeastOffset());
        ReplicationStatus statusBefore = instance.status();
        if (!statusBefore.lastPosition().isAtLeast(minLogPosition)) {
            return new BackendResult.Refused(
                    Refusal.BEHIND,
                    "the log of this instance ends at " + statusBefore.lastPosition());
        }
        boolean isQuery = isQuery(request.sql());
        if (request.readOnly() && !isQuery) {
            return new BackendResult.Refused(
                    Refusal.STATEMENT, "only queries are allowed in a read-only request");
        }
        try {
            return isQuery ? executeQuery(request, statusBefore) : executeWrite(request, term);
        } catch (SQLException e) {
            return rollBackAndRefuse(e);
        }
    }

    /**
     * Opens a transaction.
     *
     * @param term the term in which the transaction runs
     * @return the result
     */
    public synchronized BackendResult begin(Term term) {
        Optional<BackendResult> refusal = instance.checkTerm(term, true);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        if (transactionTerm != null) {
            return new BackendResult.Refused(Refusal.TRANSACTION, "a transaction is open");
        }
        transactionTerm = term;
        return success();
    }

    /**
     * Commits the open transaction.
     *
     * @param key the idempotency key to record, or null
     * @return the result
     */
    public synchronized BackendResult commit(String key) {
        if (transactionTerm == null) {
            return new BackendResult.Refused(Refusal.TRANSACTION, "no transaction is open");
        }
        try {
            Term term = transactionTerm;
            List<Change> changes = List.copyOf(transactionChanges);
            clearTransaction();
            SqlStore.SqlResult result =
                    new SqlStore.SqlResult(List.of(), List.of(), changes.size());
            return instance.commit(connection, term, changes, key, result);
        } catch (SQLException e) {
            return rollBackAndRefuse(e);
        }
    }

    /**
     * Rolls back the open transaction, if there is one.
     *
     * @return the result
     */
    public synchronized BackendResult rollback() {
        try {
            clearTransaction();
            connection.rollback();
            return success();
        } catch (SQLException e) {
            return rollBackAndRefuse(e);
        }
    }

    /**
     * Responds to a liveness check of the session.
     *
     * @return the result
     */
    public BackendResult ping() {
        return success();
    }

    /** Rolls back the open transaction and closes the session. */
    @Override
    public synchronized void close() throws SQLException {
        if (!closed) {
            closed = true;
            instance.releaseConnection();
            connection.rollback();
            connection.close();
        }
    }

    private BackendResult executeQuery(ExecuteRequest request, ReplicationStatus statusBefore)
            throws SQLException {
        SqlStore.SqlResult result =
                SqlStore.execute(connection, request.sql(), request.parameters());
        if (transactionTerm == null) {
            connection.commit();
        }
        ReplicationStatus statusAfter = instance.status();
        ReplicationStatus status =
                new ReplicationStatus(
                        statusAfter.instance(),
                        statusAfter.promisedTerm(),
                        statusAfter.isPrimary(),
                        statusAfter.lastPosition(),
                        statusBefore.lagMillis(),
                        statusBefore.primaryContactAgeMillis());
        return new BackendResult.Done(result.columns(), result.rows(), 0, false, status);
    }

    private BackendResult executeWrite(ExecuteRequest request, Term term) throws SQLException {
        Change change = new Change(request.sql(), request.parameters());
        if (transactionTerm != null) {
            SqlStore.SqlResult result =
                    SqlStore.execute(connection, request.sql(), request.parameters());
            transactionChanges.add(change);
            return new BackendResult.Done(
                    List.of(), List.of(), result.updateCount(), false, instance.status());
        }
        List<Change> changes = List.of(change);
        Optional<LogEntry> earlier = instance.findLogEntry(request.key());
        if (earlier.isPresent()) {
            return instance.replayIfSameChanges(earlier.get(), changes);
        }
        SqlStore.SqlResult result =
                SqlStore.execute(connection, request.sql(), request.parameters());
        return instance.commit(connection, term, changes, request.key(), result);
    }

    private BackendResult success() {
        return new BackendResult.Done(List.of(), List.of(), 0, false, instance.status());
    }

    private void clearTransaction() {
        transactionTerm = null;
        transactionChanges.clear();
    }

    private BackendResult rollBackAndRefuse(SQLException e) {
        try {
            clearTransaction();
            connection.rollback();
        } catch (SQLException rollbackFailure) {
            e.addSuppressed(rollbackFailure);
        }
        return new BackendResult.Refused(Refusal.STATEMENT, e.getMessage());
    }

    private static boolean isQuery(String sql) {
        String normalized = sql.stripLeading().toUpperCase(Locale.ROOT);
        return normalized.startsWith("SELECT") || normalized.startsWith("VALUES");
    }
}
