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

/** Polls the primary's log and applies the entries to a replica. */
final class LogFetcher implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(LogFetcher.class.getName());
    private static final Duration POLL_INTERVAL = Duration.ofMillis(1);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    private final DatabaseInstance instance;
    private final Executor executor;
    private final BooleanSupplier isolated;
    private Term sourceTerm = Term.ZERO;
    private JsonClient primaryClient;

    private LogFetcher(DatabaseInstance instance, Executor executor, BooleanSupplier isolated) {
        this.instance = instance;
        this.executor = executor;
        this.isolated = isolated;
    }

    static LogFetcher of(DatabaseInstance instance, Executor executor, BooleanSupplier isolated) {
        return new LogFetcher(instance, executor, isolated);
    }

    /**
     * Replicates from the primary of a term; has no effect unless the term is higher than the
     * current one.
     */
    synchronized void setReplicationSource(Term newTerm, Address address) {
        if (!newTerm.isAfter(sourceTerm)) {
            return;
        }
        closeClient();
        sourceTerm = newTerm;
        primaryClient = JsonClient.of(address);
        fetch(newTerm);
    }

    @Override
    public synchronized void close() {
        sourceTerm = Term.of(Long.MAX_VALUE);
        closeClient();
    }

    private void closeClient() {
        if (primaryClient != null) {
            primaryClient.close();
            primaryClient = null;
        }
    }

    private synchronized void fetch(Term fetchTerm) {
        if (!fetchTerm.equals(sourceTerm)) {
            return;
        }
        if (isolated.getAsBoolean()) {
            scheduleFetch(fetchTerm);
            return;
        }
        ReplicationStatus status = instance.status();
        LogMessages.Read request =
                new LogMessages.Read(
                        fetchTerm.number(),
                        status.lastPosition().term().number(),
                        status.lastPosition().offset(),
                        instance.settings().replicationLagMillis());
        long requestSentMillis = instance.nowMillis();
        primaryClient
                .post("/log", request, LogMessages.Batch.class, REQUEST_TIMEOUT)
                .afterFinally(() -> scheduleFetch(fetchTerm))
                .subscribe(batch -> applyBatch(request, batch, requestSentMillis));
    }

    private void scheduleFetch(Term fetchTerm) {
        executor.schedule(() -> fetch(fetchTerm), POLL_INTERVAL);
    }

    private void applyBatch(
            LogMessages.Read request, LogMessages.Batch batch, long requestSentMillis) {
        try {
            if (!isolated.getAsBoolean()) {
                instance.applyBatch(request, batch, requestSentMillis);
            }
        } catch (SQLException e) {
            LOGGER.log(Level.ERROR, "log batch could not be applied", e);
        }
    }
}
