package org.carobstage.testbed.database;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendMessages.Reply;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.Standing;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.testbed.database.LogEntry.Change;

/**
 * One instance of a database group: sessions, terms and the log. It knows no network; a server or a
 * test calls it and moves its log.
 */
public final class DatabaseInstance implements AutoCloseable {
    /** How many log entries go to a replica at once. */
    public static final int LOG_BATCH = 500;

    private static final long UNKNOWN_LAG = -1;

    private final InstanceSettings settings;
    private final LongSupplier millis;
    private final SqlStore store;
    private final ReplicatedLog log = new ReplicatedLog();
    private final UsageLimit slots;
    private final UsageLimit connections;
    private Term promised = Term.ZERO;
    private boolean primary;
    private long freshMillis = UNKNOWN_LAG;
    private long contactMillis = UNKNOWN_LAG;

    private DatabaseInstance(InstanceSettings settings, LongSupplier millis, SqlStore store) {
        this.settings = settings;
        this.slots = UsageLimit.of(settings.slots());
        this.connections = UsageLimit.of(settings.connections());
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
        return new DatabaseInstance(settings, millis, SqlStore.empty());
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
    public Optional<DatabaseSession> open() throws SQLException {
        if (!connections.take()) {
            return Optional.empty();
        }
        return Optional.of(new DatabaseSession(this, store.connect()));
    }

    /**
     * Takes a slot.
     *
     * @return false if all slots are busy
     */
    public boolean takeSlot() {
        return slots.take();
    }

    /** Gives a slot back. */
    public void freeSlot() {
        slots.free();
    }

    /**
     * Returns how often a slot or a connection was asked for above the limits.
     *
     * @return the number of refusals
     */
    public long refusals() {
        return slots.refusals() + connections.refusals();
    }

    /**
     * Returns how many slots are busy.
     *
     * @return the number of busy slots
     */
    public int busySlots() {
        return slots.used();
    }

    /**
     * Returns how many sessions are open.
     *
     * @return the number of open sessions
     */
    public int openSessions() {
        return connections.used();
    }

    /**
     * Returns the use of the slots.
     *
     * @return the counters
     */
    public UsageLimit slots() {
        return slots;
    }

    /**
     * Returns the use of the connections.
     *
     * @return the counters
     */
    public UsageLimit connections() {
        return connections;
    }

    /**
     * Returns the standing.
     *
     * @return the standing now
     */
    public synchronized Standing standing() {
        long lag = primary ? 0 : since(freshMillis);
        long contact = primary ? 0 : since(contactMillis);
        return new Standing(settings.id(), promised, primary, log.last(), lag, contact);
    }

    /**
     * Promises a term; a lower or equal one changes nothing.
     *
     * @param term the term
     * @return the standing afterwards
     */
    public synchronized Standing promise(Term term) {
        if (term.isAfter(promised)) {
            promised = term;
            primary = false;
            contactMillis = UNKNOWN_LAG;
        }
        return standing();
    }

    /**
     * Becomes primary of the promised term.
     *
     * @param term the term, which must be the promised one
     * @return the standing afterwards
     */
    public synchronized Standing promote(Term term) {
        if (term.equals(promised) && !primary) {
            primary = true;
            log.append(LogEntry.empty(term.number(), millis.getAsLong()));
        }
        return standing();
    }

    /**
     * Reads the log for a replica.
     *
     * @param request where the replica's log ends
     * @return the entries that follow
     */
    public synchronized LogMessages.Batch read(LogMessages.Read request) {
        LogPosition from = LogPosition.of(request.lastTerm(), request.lastOffset());
        long last = log.last().offset();
        if (!primary || promised.number() != request.term()) {
            return new LogMessages.Batch(LogMessages.Status.REFUSED, List.of(), last);
        }
        if (!log.matches(from)) {
            long common = log.lastCommon(from);
            return new LogMessages.Batch(LogMessages.Status.MISMATCH, List.of(), common);
        }
        long until = millis.getAsLong() - request.lagMillis();
        List<LogEntry> entries = log.after(from.offset(), until, LOG_BATCH);
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
    public synchronized void take(
            LogMessages.Read request, LogMessages.Batch batch, long askedMillis)
            throws SQLException {
        LogPosition from = LogPosition.of(request.lastTerm(), request.lastOffset());
        boolean current = promised.number() == request.term() && log.last().equals(from);
        if (primary || !current || batch.status() == LogMessages.Status.REFUSED) {
            return;
        }
        contactMillis = askedMillis;
        if (batch.status() == LogMessages.Status.MISMATCH) {
            log.dropAfter(batch.primaryOffset());
            store.rebuild(log.all());
            freshMillis = UNKNOWN_LAG;
            return;
        }
        store.apply(batch.entries());
        batch.entries().forEach(log::append);
        if (log.last().offset() == batch.primaryOffset()) {
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
    public synchronized Answer lookup(Term term, String key) {
        if (!primary || !term.equals(promised)) {
            return termRefusal();
        }
        return log.findKey(key)
                .map(entry -> replay(entry))
                .orElseGet(() -> new Answer.Refused(Refusal.KEY_UNKNOWN, "no outcome recorded"));
    }

    @Override
    public void close() throws SQLException {
        store.close();
    }

    private long since(long moment) {
        return moment == UNKNOWN_LAG ? UNKNOWN_LAG : millis.getAsLong() - moment;
    }

    synchronized Optional<LogEntry> earlier(String key) {
        return log.findKey(key);
    }

    void freeConnection() {
        connections.free();
    }

    private Answer termRefusal() {
        return new Answer.Refused(Refusal.TERM, "stands at term " + promised + ", " + primary);
    }

    private Answer replay(LogEntry entry) {
        Answer.Done done = (Answer.Done) entry.reply().toAnswer();
        return new Answer.Done(done.columns(), done.rows(), done.changed(), true, standing());
    }

    synchronized Optional<Answer> check(Term term, boolean needsPrimary) {
        boolean fits = term.equals(promised) && (primary || !needsPrimary);
        return fits ? Optional.empty() : Optional.of(termRefusal());
    }

    /** Commits under the instance's lock, so that no promise comes between check and commit. */
    synchronized Answer commit(
            Connection sql, Term term, List<Change> changes, String key, SqlStore.Result result)
            throws SQLException {
        Optional<Answer> refusal = check(term, true);
        Optional<LogEntry> earlier = log.findKey(key);
        if (refusal.isPresent() || earlier.isPresent()) {
            sql.rollback();
            return refusal.orElseGet(() -> replayIfSame(earlier.get(), changes));
        }
        sql.commit();
        LogPosition next = LogPosition.of(term.number(), log.last().offset() + 1);
        Standing standing = new Standing(settings.id(), promised, true, next, 0);
        Answer.Done done =
                new Answer.Done(result.columns(), result.rows(), result.changed(), false, standing);
        Reply reply = key == null ? null : Reply.of(done);
        log.append(new LogEntry(term.number(), millis.getAsLong(), changes, key, reply));
        return done;
    }

    Answer replayIfSame(LogEntry earlier, List<Change> changes) {
        return earlier.changes().equals(changes)
                ? replay(earlier)
                : new Answer.Refused(Refusal.KEY_REUSED, "key was used for another statement");
    }
}
