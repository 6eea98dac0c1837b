package org.carobstage.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.carobstage.failover.PromotionClient;
import org.carobstage.model.LogPosition;
import org.carobstage.runtime.Clock;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEra;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;
import org.carobstage.upstream.InstanceConnection;
import org.carobstage.upstream.InstanceConnector;

/**
 * A process that a test can suspend. Its timers run and its responses arrive once it continues, in
 * their order; what it has sent before is delivered.
 */
public final class FakeProcess implements Clock {
    private final Clock clock;
    private final Queue<Runnable> deferred = new ArrayDeque<>();
    private boolean suspended;
    private long uncountedNanos;
    private Duration timeOfDayStep = Duration.ZERO;

    private FakeProcess(Clock clock) {
        this.clock = clock;
    }

    /** Creates a process that runs. */
    public static FakeProcess of(Clock clock) {
        return new FakeProcess(clock);
    }

    /**
     * Suspends the process. Its time of day advances meanwhile.
     *
     * @param length the duration of the suspension
     * @param counted whether its monotonic clock advances too
     */
    public void suspend(Duration length, boolean counted) {
        suspended = true;
        clock.schedule(() -> resume(counted ? 0 : length.toNanos()), length);
    }

    /** Steps the time of day of this process. */
    public void stepTimeOfDay(Duration step) {
        timeOfDayStep = timeOfDayStep.plus(step);
    }

    /** Runs a task now or, if the process is suspended, when it continues. */
    public void run(Runnable task) {
        if (suspended) {
            deferred.add(task);
        } else {
            task.run();
        }
    }

    private void resume(long missedNanos) {
        suspended = false;
        uncountedNanos += missedNanos;
        while (!suspended && !deferred.isEmpty()) {
            deferred.poll().run();
        }
    }

    private <T> Consumer<T> defer(Consumer<T> callback) {
        return response -> run(() -> callback.accept(response));
    }

    @Override
    public long nanoTime() {
        return clock.nanoTime() - uncountedNanos;
    }

    @Override
    public Instant instant() {
        return clock.instant().plus(timeOfDayStep);
    }

    @Override
    public Timer schedule(Runnable task, Duration delay) {
        ProcessTimer timer = new ProcessTimer(task, nanoTime() + delay.toNanos());
        timer.start();
        return timer;
    }

    /** Returns the store as this process reaches it. */
    public MetadataStore store(MetadataStore store) {
        return new Store(store);
    }

    /** Returns the promotion client of this process. */
    public PromotionClient promotionClient(PromotionClient client) {
        return (request, callback) -> client.promote(request, defer(callback));
    }

    /** Returns the connector of this process. */
    public InstanceConnector connector(InstanceConnector connector) {
        return (target, account, timeout, listener) ->
                connector.connect(
                        target,
                        account,
                        timeout,
                        InstanceConnector.Listener.of(
                                connection ->
                                        run(() -> listener.onOpened(new Connection(connection))),
                                defer(listener::onOpenFailed),
                                () -> run(listener::onLost)));
    }

    private final class ProcessTimer implements Timer {
        private final Runnable task;
        private final long dueNanos;
        private boolean cancelled;
        private Optional<Timer> pending = Optional.empty();

        private ProcessTimer(Runnable task, long dueNanos) {
            this.task = task;
            this.dueNanos = dueNanos;
        }

        private void start() {
            pending =
                    Optional.of(
                            clock.schedule(
                                    () -> run(this::onDue),
                                    Duration.ofNanos(Math.max(0, dueNanos - nanoTime()))));
        }

        /** Starts again if the monotonic clock has missed a suspension meanwhile. */
        private void onDue() {
            if (cancelled) {
                return;
            }
            if (dueNanos - nanoTime() > 0) {
                start();
            } else {
                task.run();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            pending.ifPresent(Timer::cancel);
        }
    }

    private final class Connection implements InstanceConnection {
        private final InstanceConnection connection;

        private Connection(InstanceConnection connection) {
            this.connection = connection;
        }

        @Override
        public void send(
                String id,
                Optional<LogPosition> required,
                Statement statement,
                Consumer<Optional<StatementResult>> callback) {
            connection.send(id, required, statement, defer(callback));
        }

        @Override
        public void sendControlCommand(Statement statement, Consumer<StatusResponse> callback) {
            connection.sendControlCommand(statement, defer(callback));
        }

        @Override
        public void close() {
            connection.close();
        }
    }

    private final class Store implements MetadataStore {
        private final MetadataStore store;

        private Store(MetadataStore store) {
            this.store = store;
        }

        @Override
        public StoreEra era() {
            return store.era();
        }

        @Override
        public void list(Optional<String> after, Consumer<StoreResponse<Page>> callback) {
            store.list(after, defer(callback));
        }

        @Override
        public void watch(
                StoreRevision revision, Duration wait, Consumer<StoreResponse<Page>> callback) {
            store.watch(revision, wait, defer(callback));
        }

        @Override
        public void write(StoreWrite write, Consumer<StoreResponse<StoreRevision>> callback) {
            store.write(write, defer(callback));
        }

        @Override
        public void grantLease(Duration ttl, Consumer<StoreResponse<LeaseId>> callback) {
            store.grantLease(ttl, defer(callback));
        }

        @Override
        public void renewLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> callback) {
            store.renewLease(lease, defer(callback));
        }

        @Override
        public void revokeLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> callback) {
            store.revokeLease(lease, defer(callback));
        }
    }
}
