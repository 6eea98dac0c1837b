package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.upstream.InstanceConnector.OpenFailure;

/** The connections of one pool that are being opened; each ends with one outcome. */
final class Openings {
    /**
     * Timeout of opening; it covers the time that a new connection waits in a full instance's
     * queue.
     */
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final InstanceConnectionPool pool;
    private final UpstreamContext context;
    private final List<Opening> inProgress = new ArrayList<>();

    Openings(InstanceConnectionPool pool, UpstreamContext context) {
        this.pool = requireNonNull(pool, "pool is null");
        this.context = requireNonNull(context, "context is null");
    }

    List<Opening> inProgress() {
        return inProgress;
    }

    boolean isEmpty() {
        return inProgress.isEmpty();
    }

    int size() {
        return inProgress.size();
    }

    /** Starts to open a connection, whose outcome is reported to the pool. */
    Opening start(PoolEntry connection, OpeningCause cause) {
        Opening opening =
                Opening.of(pool.entry(), connection.account(), cause, context.clock().nanoTime());
        inProgress.add(opening);
        count(cause.counter("connection_openings_by_cause_total"), 1);
        if (!pool.runCallback(() -> connect(connection, opening))) {
            context.clock().schedule(() -> onConnectorFailed(opening), Duration.ZERO);
        }
        return opening;
    }

    private void connect(PoolEntry connection, Opening opening) {
        context.connector()
                .connect(
                        opening.target(),
                        opening.account(),
                        TIMEOUT,
                        InstanceConnector.Listener.of(
                                opened -> {
                                    inProgress.remove(opening);
                                    countOpeningTime(opening);
                                    pool.onOpened(connection, opened, opening);
                                },
                                reason -> onFailed(reason, opening),
                                () -> {
                                    connection.markLost();
                                    pool.removeConnection(connection);
                                }));
    }

    /** An opening takes a slot, so that its time shows how long statements wait for one. */
    private void countOpeningTime(Opening opening) {
        long nanos = context.clock().nanoTime() - opening.startedNanos();
        count(
                opening.cause().counter("connection_opening_millis_total"),
                Duration.ofNanos(nanos).toMillis());
    }

    private void count(String name, long value) {
        context.metrics().accept(name, value);
    }

    /** Ends an opening whose connector has failed unexpectedly and may not report an outcome. */
    private void onConnectorFailed(Opening opening) {
        if (inProgress.contains(opening)) {
            onFailed(OpenFailure.NO_ANSWER, opening);
        }
    }

    private void onFailed(OpenFailure reason, Opening opening) {
        inProgress.remove(opening);
        count("connection_openings_failed_total{reason=\"" + reason.label() + "\"}", 1);
        pool.onOpenFailed(reason, opening);
    }
}
