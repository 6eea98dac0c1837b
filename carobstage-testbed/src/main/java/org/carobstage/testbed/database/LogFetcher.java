package org.carobstage.testbed.database;

import io.servicetalk.concurrent.api.Executor;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.sql.SQLException;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.http.JsonClient;
import org.carobstage.model.Address;
import org.carobstage.model.Term;

/** Reads the primary's log in rounds and hands it to the instance. */
final class LogFetcher implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(LogFetcher.class.getName());
    private static final Duration INTERVAL = Duration.ofMillis(1);
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final DatabaseInstance instance;
    private final Executor executor;
    private final BooleanSupplier cut;
    private Term term = Term.ZERO;
    private JsonClient primary;

    private LogFetcher(DatabaseInstance instance, Executor executor, BooleanSupplier cut) {
        this.instance = instance;
        this.executor = executor;
        this.cut = cut;
    }

    static LogFetcher of(DatabaseInstance instance, Executor executor, BooleanSupplier cut) {
        return new LogFetcher(instance, executor, cut);
    }

    /** Follows the primary of a term in place of the one of a lower term. */
    synchronized void setReplicationSource(Term newTerm, Address address) {
        if (!newTerm.isAfter(term)) {
            return;
        }
        closePrimary();
        term = newTerm;
        primary = JsonClient.of(address);
        round(newTerm);
    }

    @Override
    public synchronized void close() {
        term = Term.of(Long.MAX_VALUE);
        closePrimary();
    }

    private void closePrimary() {
        if (primary != null) {
            primary.close();
            primary = null;
        }
    }

    private synchronized void round(Term roundTerm) {
        if (!roundTerm.equals(term)) {
            return;
        }
        if (cut.getAsBoolean()) {
            again(roundTerm);
            return;
        }
        ReplicationStatus standing = instance.status();
        LogMessages.Read read =
                new LogMessages.Read(
                        roundTerm.number(),
                        standing.lastPosition().term().number(),
                        standing.lastPosition().offset(),
                        instance.settings().replicationLagMillis());
        long asked = instance.nowMillis();
        primary.post("/log", read, LogMessages.Batch.class, TIMEOUT)
                .afterFinally(() -> again(roundTerm))
                .subscribe(batch -> take(read, batch, asked));
    }

    private void again(Term roundTerm) {
        executor.schedule(() -> round(roundTerm), INTERVAL);
    }

    private void take(LogMessages.Read read, LogMessages.Batch batch, long asked) {
        try {
            if (!cut.getAsBoolean()) {
                instance.applyBatch(read, batch, asked);
            }
        } catch (SQLException e) {
            LOGGER.log(Level.ERROR, "log entry could not be applied", e);
        }
    }
}
