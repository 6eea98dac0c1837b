package org.carobstage.testbed.database;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendMessages.Execute;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.Standing;
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
    public synchronized Answer execute(Execute request) {
        Term term = Term.of(request.term());
        Optional<Answer> refusal = instance.check(term, !request.readOnly());
        if (refusal.isPresent()) {
            return refusal.get();
        }
        LogPosition atLeast = LogPosition.of(request.atLeastTerm(), request.atLeastOffset());
        Standing before = instance.standing();
        if (!before.last().covers(atLeast)) {
            return new Answer.Refused(Refusal.BEHIND, "log ends at " + before.last());
        }
        boolean reads = isRead(request.sql());
        if (request.readOnly() && !reads) {
            return new Answer.Refused(Refusal.STATEMENT, "only queries are allowed here");
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
    public synchronized Answer begin(Term term) {
        Optional<Answer> refusal = instance.check(term, true);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        if (transaction != null) {
            return new Answer.Refused(Refusal.TRANSACTION, "a transaction is open");
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
    public synchronized Answer commit(String key) {
        if (transaction == null) {
            return new Answer.Refused(Refusal.TRANSACTION, "no transaction is open");
        }
        try {
            Term term = transaction;
            List<Change> all = List.copyOf(changes);
            end();
            SqlStore.Result none = new SqlStore.Result(List.of(), List.of(), all.size());
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
    public synchronized Answer rollback() {
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
    public Answer ping() {
        return done();
    }

    /** Rolls back and closes. */
    @Override
    public synchronized void close() throws SQLException {
        if (!closed) {
            closed = true;
            instance.freeConnection();
            sql.rollback();
            sql.close();
        }
    }

    private Answer query(Execute request, Standing before) throws SQLException {
        SqlStore.Result result = SqlStore.run(sql, request.sql(), request.parameters());
        if (transaction == null) {
            sql.commit();
        }
        Standing after = instance.standing();
        Standing seen =
                new Standing(
                        after.instance(),
                        after.promised(),
                        after.primary(),
                        after.last(),
                        before.lagMillis(),
                        before.contactMillis());
        return new Answer.Done(result.columns(), result.rows(), 0, false, seen);
    }

    private Answer change(Execute request, Term term) throws SQLException {
        Change change = new Change(request.sql(), request.parameters());
        if (transaction != null) {
            SqlStore.Result result = SqlStore.run(sql, request.sql(), request.parameters());
            changes.add(change);
            return new Answer.Done(
                    List.of(), List.of(), result.changed(), false, instance.standing());
        }
        List<Change> all = List.of(change);
        Optional<LogEntry> earlier = instance.earlier(request.key());
        if (earlier.isPresent()) {
            return instance.replayIfSame(earlier.get(), all);
        }
        SqlStore.Result result = SqlStore.run(sql, request.sql(), request.parameters());
        return instance.commit(sql, term, all, request.key(), result);
    }

    private Answer done() {
        return new Answer.Done(List.of(), List.of(), 0, false, instance.standing());
    }

    private void end() {
        transaction = null;
        changes.clear();
    }

    private Answer refused(SQLException e) {
        try {
            end();
            sql.rollback();
        } catch (SQLException again) {
            e.addSuppressed(again);
        }
        return new Answer.Refused(Refusal.STATEMENT, e.getMessage());
    }

    private static boolean isRead(String text) {
        String start = text.stripLeading().toUpperCase(Locale.ROOT);
        return start.startsWith("SELECT") || start.startsWith("VALUES");
    }
}
