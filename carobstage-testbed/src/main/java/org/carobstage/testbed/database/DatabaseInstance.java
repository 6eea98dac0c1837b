package org.carobstage.testbed.database;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.carobstage.backend.BackendMessages.Reply;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.testbed.database.LogEntry.Change;

/**
 * One instance of a database group: sessions, terms and the log. It knows no network; a server or a
 * test calls it and moves its log.
 */
public final class DatabaseInstance implements AutoCloseable {
    /** How many log entries go to a replica at once. */
    public static final int MAX_LOG_BATCH_SIZE = 500;

    private static final long UNKNOWN_LAG = -1;

    private final InstanceSettings settings;
    private final LongSupplier millis;
    private final SqlStore store;
    private final ReplicatedLog log = new ReplicatedLog();
    private final ConcurrencyLimiter slotLimiter;
    private final ConcurrencyLimiter connectionLimiter;
    private Term promised = Term.ZERO;
    private boolean primary;
    private long freshMillis = UNKNOWN_LAG;
    private long contactMillis = UNKNOWN_LAG;

    private DatabaseInstance(InstanceSettings settings, LongSupplier millis, SqlStore store) {
        this.settings = settings;
        this.slotLimiter = ConcurrencyLimiter.of(settings.slotCount());
        this.connectionLimiter = ConcurrencyLimiter.of(settings.maxConnections());
        this.millis = millis;
        this.store = store;
    }

    /**
     * Creates an instance with an empty log.
     *
     * @param settings its limits and delays
     * @param millis the time of day in ms
     * @return the instance
     * @throws SQLException if the SQL store can't be opened
     */
    public static DatabaseInstance of(InstanceSettings settings, LongSupplier millis)
            throws SQLException {
        return new DatabaseInstance(settings, millis, SqlStore.inMemory());
    }

    /**
     * Returns the limits and delays.
     *
     * @return the settings
     */
    public InstanceSettings settings() {
        return settings;
    }

    /**
     * Returns the time by which lag and contact are reckoned.
     *
     * @return the instance's time of day in ms
     */
    public long nowMillis() {
        return millis.getAsLong();
    }

    /**
     * Opens a session if the limit of connections allows.
     *
     * @return the session, or empty at the limit
     * @throws SQLException if the SQL store fails
     */
    public Optional<DatabaseSession> openSession() throws SQLException {
        if (!connectionLimiter.tryAcquire()) {
            return Optional.empty();
        }
        return Optional.of(new DatabaseSession(this, store.connect()));
    }

    /**
     * Takes a slot.
     *
     * @return false if all slots are busy
     */
    public boolean tryAcquireSlot() {
        return slotLimiter.tryAcquire();
    }

    /** Gives a slot back. */
    public void releaseSlot() {
        slotLimiter.release();
    }

    /**
     * Returns how often a slot or a connection was asked for above the limits.
     *
     * @return the number of refusals
     */
    public long refusalCount() {
        return slotLimiter.refusalCount() + connectionLimiter.refusalCount();
    }

    /**
     * Returns how many slots are busy.
     *
     * @return the number of busy slots
     */
    public int busySlotCount() {
        return slotLimiter.usedCount();
    }

    /**
     * Returns how many sessions are open.
     *
     * @return the number of open sessions
     */
    public int openSessionCount() {
        return connectionLimiter.usedCount();
    }

    /**
     * Returns the use of the slots.
     *
     * @return the counters
     */
    public ConcurrencyLimiter slotLimiter() {
        return slotLimiter;
    }

    /**
     * Returns the use of the connections.
     *
     * @return the counters
     */
    public ConcurrencyLimiter connectionLimiter() {
        return connectionLimiter;
    }

    /**
     * Returns the standing.
     *
     * @return the standing now
     */
    public synchronized ReplicationStatus status() {
        long lag = primary ? 0 : since(freshMillis);
        long contact = primary ? 0 : since(contactMillis);
        return new ReplicationStatus(
                settings.id(), promised, primary, log.lastPosition(), lag, contact);
    }

    /**
     * Promises a term; a lower or equal one changes nothing.
     *
     * @param term the term
     * @return the standing afterwards
     */
    public synchronized ReplicationStatus promise(Term term) {
        if (term.isAfter(promised)) {
            promised = term;
            primary = false;
            contactMillis = UNKNOWN_LAG;
        }
        return status();
    }

    /**
     * Becomes primary of the promised term.
     *
     * @param term the term, which must be the promised one
     * @return the standing afterwards
     */
    public synchronized ReplicationStatus promote(Term term) {
        if (term.equals(promised) && !primary) {
            primary = true;
            log.append(LogEntry.noOp(term.number(), millis.getAsLong()));
        }
        return status();
    }

    /**
     * Reads the log for a replica.
     *
     * @param request where the replica's log ends
     * @return the entries that follow
     */
    public synchronized LogMessages.Batch readLog(LogMessages.Read request) {
        LogPosition from = LogPosition.of(request.lastTerm(), request.lastOffset());
        long last = log.lastPosition().offset();
        if (!primary || promised.number() != request.term()) {
            return new LogMessages.Batch(LogMessages.Status.REFUSED, List.of(), last);
        }
        if (!log.containsPosition(from)) {
            long common = log.lastCommonOffset(from);
            return new LogMessages.Batch(LogMessages.Status.MISMATCH, List.of(), common);
        }
        long until = millis.getAsLong() - request.lagMillis();
        List<LogEntry> entries = log.entriesAfter(from.offset(), until, MAX_LOG_BATCH_SIZE);
        return new LogMessages.Batch(LogMessages.Status.ENTRIES, entries, last);
    }

    /**
     * Takes over a batch of the primary's log.
     *
     * @param request the request that the batch answers
     * @param batch the batch
     * @param askedMillis when the request was sent, in ms
     * @throws SQLException if the entries can't be applied
     */
    public synchronized void applyBatch(
            LogMessages.Read request, LogMessages.Batch batch, long askedMillis)
            throws SQLException {
        LogPosition from = LogPosition.of(request.lastTerm(), request.lastOffset());
        boolean current = promised.number() == request.term() && log.lastPosition().equals(from);
        if (primary || !current || batch.status() == LogMessages.Status.REFUSED) {
            return;
        }
        contactMillis = askedMillis;
        if (batch.status() == LogMessages.Status.MISMATCH) {
            log.truncateAfter(batch.primaryOffset());
            store.rebuild(log.snapshot());
            freshMillis = UNKNOWN_LAG;
            return;
        }
        store.apply(batch.entries());
        batch.entries().forEach(log::append);
        if (log.lastPosition().offset() == batch.primaryOffset()) {
            freshMillis = askedMillis;
        }
    }

    /**
     * Tells what is recorded for a key.
     *
     * @param term the term whose primary must answer
     * @param key the key
     * @return the recorded answer or a refusal
     */
    public synchronized BackendResult lookupOutcome(Term term, String key) {
        if (!primary || !term.equals(promised)) {
            return termRefusal();
        }
        return log.findByKey(key)
                .map(entry -> replay(entry))
                .orElseGet(
                        () ->
                                new BackendResult.Refused(
                                        Refusal.KEY_UNKNOWN, "no outcome recorded"));
    }

    @Override
    public void close() throws SQLException {
        store.close();
    }

    private long since(long moment) {
        return moment == UNKNOWN_LAG ? UNKNOWN_LAG : millis.getAsLong() - moment;
    }

    synchronized Optional<LogEntry> findLogEntry(String key) {
        return log.findByKey(key);
    }

    void releaseConnection() {
        connectionLimiter.release();
    }

    private BackendResult termRefusal() {
        return new BackendResult.Refused(
                Refusal.TERM, "stands at term " + promised + ", " + primary);
    }

    private BackendResult replay(LogEntry entry) {
        BackendResult.Done done = (BackendResult.Done) entry.reply().toResult();
        return new BackendResult.Done(
                done.columns(), done.rows(), done.affectedRowCount(), true, status());
    }

    synchronized Optional<BackendResult> checkTerm(Term term, boolean needsPrimary) {
        boolean fits = term.equals(promised) && (primary || !needsPrimary);
        return fits ? Optional.empty() : Optional.of(termRefusal());
    }

    /** Commits under the instance's lock, so that no promise comes between check and commit. */
    synchronized BackendResult commit(
            Connection sql, Term term, List<Change> changes, String key, SqlStore.SqlResult result)
            throws SQLException {
        Optional<BackendResult> refusal = checkTerm(term, true);
        Optional<LogEntry> earlier = log.findByKey(key);
        if (refusal.isPresent() || earlier.isPresent()) {
            sql.rollback();
            return refusal.orElseGet(() -> replayIfSameChanges(earlier.get(), changes));
        }
        sql.commit();
        LogPosition next = LogPosition.of(term.number(), log.lastPosition().offset() + 1);
        ReplicationStatus standing = new ReplicationStatus(settings.id(), promised, true, next, 0);
        BackendResult.Done done =
                new BackendResult.Done(
                        result.columns(), result.rows(), result.updateCount(), false, standing);
        Reply reply = key == null ? null : Reply.of(done);
        log.append(new LogEntry(term.number(), millis.getAsLong(), changes, key, reply));
        return done;
    }

    BackendResult replayIfSameChanges(LogEntry earlier, List<Change> changes) {
        return earlier.changes().equals(changes)
                ? replay(earlier)
                : new BackendResult.Refused(
                        Refusal.KEY_REUSED, "key was used for another statement");
    }
}
