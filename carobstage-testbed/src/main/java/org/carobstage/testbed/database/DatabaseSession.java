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

/** One connection's state: at most one open transaction. */
public final class DatabaseSession implements AutoCloseable {
    private final DatabaseInstance instance;
    private final Connection sql;
    private final List<Change> changes = new ArrayList<>();
    private Term transaction;
    private boolean closed;

    DatabaseSession(DatabaseInstance instance, Connection sql) {
        this.instance = instance;
        this.sql = sql;
    }

    /**
     * Runs a statement; without an open transaction it commits at once.
     *
     * @param request the statement
     * @return the answer
     */
    public synchronized BackendResult execute(ExecuteRequest request) {
        Term term = Term.of(request.term());
        Optional<BackendResult> refusal = instance.checkTerm(term, !request.readOnly());
        if (refusal.isPresent()) {
            return refusal.get();
        }
        LogPosition atLeast = LogPosition.of(request.atLeastTerm(), request.atLeastOffset());
        ReplicationStatus before = instance.status();
        if (!before.lastPosition().isAtLeast(atLeast)) {
            return new BackendResult.Refused(
                    Refusal.BEHIND, "log ends at " + before.lastPosition());
        }
        boolean reads = isRead(request.sql());
        if (request.readOnly() && !reads) {
            return new BackendResult.Refused(Refusal.STATEMENT, "only queries are allowed here");
        }
        try {
            return reads ? query(request, before) : change(request, term);
        } catch (SQLException e) {
            return refused(e);
        }
    }

    /**
     * Opens a transaction.
     *
     * @param term the term
     * @return the answer
     */
    public synchronized BackendResult begin(Term term) {
        Optional<BackendResult> refusal = instance.checkTerm(term, true);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        if (transaction != null) {
            return new BackendResult.Refused(Refusal.TRANSACTION, "a transaction is open");
        }
        transaction = term;
        return done();
    }

    /**
     * Commits the open transaction.
     *
     * @param key the key to record, or null
     * @return the answer
     */
    public synchronized BackendResult commit(String key) {
        if (transaction == null) {
            return new BackendResult.Refused(Refusal.TRANSACTION, "no transaction is open");
        }
        try {
            Term term = transaction;
            List<Change> all = List.copyOf(changes);
            end();
            SqlStore.SqlResult none = new SqlStore.SqlResult(List.of(), List.of(), all.size());
            return instance.commit(sql, term, all, key, none);
        } catch (SQLException e) {
            return refused(e);
        }
    }

    /**
     * Rolls the open transaction back, if there is one.
     *
     * @return the answer
     */
    public synchronized BackendResult rollback() {
        try {
            end();
            sql.rollback();
            return done();
        } catch (SQLException e) {
            return refused(e);
        }
    }

    /**
     * Answers that the session is alive.
     *
     * @return the answer
     */
    public BackendResult ping() {
        return done();
    }

    /** Rolls back and closes. */
    @Override
    public synchronized void close() throws SQLException {
        if (!closed) {
            closed = true;
            instance.releaseConnection();
            sql.rollback();
            sql.close();
        }
    }

    private BackendResult query(ExecuteRequest request, ReplicationStatus before)
            throws SQLException {
        SqlStore.SqlResult result = SqlStore.execute(sql, request.sql(), request.parameters());
        if (transaction == null) {
            sql.commit();
        }
        ReplicationStatus after = instance.status();
        ReplicationStatus seen =
                new ReplicationStatus(
                        after.instance(),
                        after.promisedTerm(),
                        after.isPrimary(),
                        after.lastPosition(),
                        before.lagMillis(),
                        before.primaryContactAgeMillis());
        return new BackendResult.Done(result.columns(), result.rows(), 0, false, seen);
    }

    private BackendResult change(ExecuteRequest request, Term term) throws SQLException {
        Change change = new Change(request.sql(), request.parameters());
        if (transaction != null) {
            SqlStore.SqlResult result = SqlStore.execute(sql, request.sql(), request.parameters());
            changes.add(change);
            return new BackendResult.Done(
                    List.of(), List.of(), result.updateCount(), false, instance.status());
        }
        List<Change> all = List.of(change);
        Optional<LogEntry> earlier = instance.findLogEntry(request.key());
        if (earlier.isPresent()) {
            return instance.replayIfSameChanges(earlier.get(), all);
        }
        SqlStore.SqlResult result = SqlStore.execute(sql, request.sql(), request.parameters());
        return instance.commit(sql, term, all, request.key(), result);
    }

    private BackendResult done() {
        return new BackendResult.Done(List.of(), List.of(), 0, false, instance.status());
    }

    private void end() {
        transaction = null;
        changes.clear();
    }

    private BackendResult refused(SQLException e) {
        try {
            end();
            sql.rollback();
        } catch (SQLException again) {
            e.addSuppressed(again);
        }
        return new BackendResult.Refused(Refusal.STATEMENT, e.getMessage());
    }

    private static boolean isRead(String text) {
        String start = text.stripLeading().toUpperCase(Locale.ROOT);
        return start.startsWith("SELECT") || start.startsWith("VALUES");
    }
}
