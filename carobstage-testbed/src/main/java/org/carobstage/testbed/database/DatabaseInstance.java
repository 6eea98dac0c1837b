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
 * One instance of a database group: its sessions, its promised term and its log. It does no network
 * I/O; callers such as {@link InstanceServer} transfer log entries between instances.
 */
public final class DatabaseInstance implements AutoCloseable {
    /** The maximum number of log entries in a batch. */
    public static final int MAX_LOG_BATCH_SIZE = 500;

    private static final long UNKNOWN_MILLIS = -1;

    private final InstanceSettings settings;
    private final LongSupplier clockMillis;
    private final SqlStore store;
    private final ReplicatedLog log = new ReplicatedLog();
    private final ConcurrencyLimiter slotLimiter;
    private final ConcurrencyLimiter connectionLimiter;
    private Term promisedTerm = Term.ZERO;
    private boolean isPrimary;
    private long lastCaughtUpMillis = UNKNOWN_MILLIS;
    private long lastPrimaryContactMillis = UNKNOWN_MILLIS;

    private DatabaseInstance(InstanceSettings settings, LongSupplier clockMillis, SqlStore store) {
        this.settings = settings;
        this.slotLimiter = ConcurrencyLimiter.of(settings.slotCount());
        this.connectionLimiter = ConcurrencyLimiter.of(settings.maxConnections());
        this.clockMillis = clockMillis;
        this.store = store;
    }

    /**
     * Creates an instance with an empty log.
     *
     * @param settings the limits and delays
     * @param clockMillis supplies the time of day in ms
     * @return the instance
     * @throws SQLException if the SQL store can't be opened
     */
    public static DatabaseInstance of(InstanceSettings settings, LongSupplier clockMillis)
            throws SQLException {
        return new DatabaseInstance(settings, clockMillis, SqlStore.inMemory());
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
     * Returns the time from which replication lag and contact age are computed.
     *
     * @return the instance's time of day in ms
     */
    public long nowMillis() {
        return clockMillis.getAsLong();
    }

    /**
     * Opens a session unless the connection limit is reached.
     *
     * @return the session, or empty if the limit is reached
     * @throws SQLException if the SQL store fails
     */
    public Optional<DatabaseSession> openSession() throws SQLException {
        if (!connectionLimiter.tryAcquire()) {
            return Optional.empty();
        }
        return Optional.of(new DatabaseSession(this, store.connect()));
    }

    /**
     * Acquires a slot if one is free.
     *
     * @return false if all slots are busy
     */
    public boolean tryAcquireSlot() {
        return slotLimiter.tryAcquire();
    }

    /** Releases a slot. */
    public void releaseSlot() {
        slotLimiter.release();
    }

    /**
     * Returns how many requests for a slot or a connection were refused.
     *
     * @return the number of refusals
     */
    public long refusalCount() {
        return slotLimiter.refusalCount() + connectionLimiter.refusalCount();
    }

    /**
     * Returns how many slots are in use.
     *
     * @return the number of slots in use
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
     * Returns the limiter of concurrent statements.
     *
     * @return the limiter
     */
    public ConcurrencyLimiter slotLimiter() {
        return slotLimiter;
    }

    /**
     * Returns the limiter of connections.
     *
     * @return the limiter
     */
    public ConcurrencyLimiter connectionLimiter() {
        return connectionLimiter;
    }

    /**
     * Returns the replication status.
     *
     * @return the current status
     */
    public synchronized ReplicationStatus status() {
        long lagMillis = isPrimary ? 0 : ageMillis(lastCaughtUpMillis);
        long contactAgeMillis = isPrimary ? 0 : ageMillis(lastPrimaryContactMillis);
        return new ReplicationStatus(
                settings.id(),
                promisedTerm,
                isPrimary,
                log.lastPosition(),
                lagMillis,
                contactAgeMillis);
    }

    /**
     * Promises a term; has no effect if an equal or higher term is already promised.
     *
     * @param term the term
     * @return the status afterwards
     */
    public synchronized ReplicationStatus promise(Term term) {
        if (term.isAfter(promisedTerm)) {
            promisedTerm = term;
            isPrimary = false;
            lastPrimaryContactMillis = UNKNOWN_MILLIS;
        }
        return status();
    }

    /**
     * Becomes the primary of the promised term; has no effect for any other term.
     *
     * @param term the term, which must equal the promised term
     * @return the status afterwards
     */
    public synchronized ReplicationStatus promote(Term term) {
        if (term.equals(promisedTerm) && !isPrimary) {
            isPrimary = true;
            log.append(LogEntry.noOp(term.number(), clockMillis.getAsLong()));
        }
        return status();
    }

    /**
     * Returns the log entries that a replica is missing.
     *
     * @param request the end position of the replica's log
     * @return the entries after that position, or a mismatch or refusal
     */
    public synchronized LogMessages.Batch readLog(LogMessages.Read request) {
        LogPosition from = LogPosition.of(request.lastTerm(), request.lastOffset());
        long lastOffset = log.lastPosition().offset();
        if (!isPrimary || promisedTerm.number() != request.term()) {
            return new LogMessages.Batch(LogMessages.Status.REFUSED, List.of(), lastOffset);
        }
        if (!log.containsPosition(from)) {
            long commonOffset = log.lastCommonOffset(from);
            return new LogMessages.Batch(LogMessages.Status.MISMATCH, List.of(), commonOffset);
        }
        long untilMillis = clockMillis.getAsLong() - request.lagMillis();
        List<LogEntry> entries = log.entriesAfter(from.offset(), untilMillis, MAX_LOG_BATCH_SIZE);
        return new LogMessages.Batch(LogMessages.Status.ENTRIES, entries, lastOffset);
    }

    /**
     * Applies a batch of the primary's log.
     *
     * @param request the request to which the batch is the response
     * @param batch the batch
     * @param requestSentMillis the time of day at which the request was sent, in ms
     * @throws SQLException if the entries can't be applied
     */
    public synchronized void applyBatch(
            LogMessages.Read request, LogMessages.Batch batch, long requestSentMillis)
            throws SQLException {
        LogPosition from = LogPosition.of(request.lastTerm(), request.lastOffset());
        boolean isCurrent =
                promisedTerm.number() == request.term() && log.lastPosition().equals(from);
        if (isPrimary || !isCurrent || batch.status() == LogMessages.Status.REFUSED) {
            return;
        }
        lastPrimaryContactMillis = requestSentMillis;
        if (batch.status() == LogMessages.Status.MISMATCH) {
            log.truncateAfter(batch.primaryOffset());
            store.rebuild(log.snapshot());
            lastCaughtUpMillis = UNKNOWN_MILLIS;
            return;
        }
        store.apply(batch.entries());
        batch.entries().forEach(log::append);
        if (log.lastPosition().offset() == batch.primaryOffset()) {
            lastCaughtUpMillis = requestSentMillis;
        }
    }

    /**
     * Looks up the outcome recorded for an idempotency key.
     *
     * @param term the term of which this instance must be the primary
     * @param key the idempotency key
     * @return the recorded result, or a refusal
     */
    public synchronized BackendResult lookUpOutcome(Term term, String key) {
        if (!isPrimary || !term.equals(promisedTerm)) {
            return refuseTerm();
        }
        return log.findByKey(key)
                .map(entry -> replay(entry))
                .orElseGet(
                        () ->
                                new BackendResult.Refused(
                                        Refusal.KEY_UNKNOWN, "no outcome is recorded for the key"));
    }

    @Override
    public void close() throws SQLException {
        store.close();
    }

    private long ageMillis(long timeMillis) {
        return timeMillis == UNKNOWN_MILLIS ? UNKNOWN_MILLIS : clockMillis.getAsLong() - timeMillis;
    }

    synchronized Optional<LogEntry> findLogEntry(String key) {
        return log.findByKey(key);
    }

    void releaseConnection() {
        connectionLimiter.release();
    }

    private BackendResult refuseTerm() {
        return new BackendResult.Refused(
                Refusal.TERM, "promised term is " + promisedTerm + ", primary: " + isPrimary);
    }

    private BackendResult replay(LogEntry entry) {
        BackendResult.Done done = (BackendResult.Done) entry.reply().toResult();
        return new BackendResult.Done(
                done.columns(), done.rows(), done.affectedRowCount(), true, status());
    }

    synchronized Optional<BackendResult> checkTerm(Term term, boolean needsPrimary) {
        boolean isAllowed = term.equals(promisedTerm) && (isPrimary || !needsPrimary);
        return isAllowed ? Optional.empty() : Optional.of(refuseTerm());
    }

    /** Commits under the instance's lock, so that no term is promised between check and commit. */
    synchronized BackendResult commit(
            Connection connection,
            Term term,
            List<Change> changes,
            String key,
            SqlStore.SqlResult result)
            throws SQLException {
        Optional<BackendResult> refusal = checkTerm(term, true);
        Optional<LogEntry> earlier = log.findByKey(key);
        if (refusal.isPresent() || earlier.isPresent()) {
            connection.rollback();
            return refusal.orElseGet(() -> replayIfSameChanges(earlier.get(), changes));
        }
        connection.commit();
        LogPosition position = LogPosition.of(term.number(), log.lastPosition().offset() + 1);
        ReplicationStatus status =
                new ReplicationStatus(settings.id(), promisedTerm, true, position, 0);
        BackendResult.Done done =
                new BackendResult.Done(
                        result.columns(), result.rows(), result.updateCount(), false, status);
        Reply reply = key == null ? null : Reply.of(done);
        log.append(new LogEntry(term.number(), clockMillis.getAsLong(), changes, key, reply));
        return done;
    }

    BackendResult replayIfSameChanges(LogEntry earlier, List<Change> changes) {
        return earlier.changes().equals(changes)
                ? replay(earlier)
                : new BackendResult.Refused(
                        Refusal.KEY_REUSED, "key was used with a different statement");
    }
}
