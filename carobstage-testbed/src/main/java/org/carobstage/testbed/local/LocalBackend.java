package org.carobstage.testbed.local;

import java.sql.SQLException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.DatabaseSession;

/** In-process client of one instance for one entry VM, with a fixed latency in each direction. */
final class LocalBackend implements Backend {
    static final Duration ONE_WAY_LATENCY = Duration.ofMillis(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(1);

    private final LocalGroup group;
    private final Clock clock;
    private final VmId vm;
    private final InstanceSpec spec;

    LocalBackend(LocalGroup group, Clock clock, VmId vm, InstanceSpec spec) {
        this.group = group;
        this.clock = clock;
        this.vm = vm;
        this.spec = spec;
    }

    @Override
    public InstanceSpec spec() {
        return spec;
    }

    @Override
    public CompletionStage<BackendConnection> openConnection(Duration timeout) {
        CompletableFuture<BackendConnection> opened = new CompletableFuture<>();
        Duration delay = ONE_WAY_LATENCY.plusMillis(instance().settings().openDelayMillis());
        clock.schedule(() -> openSession(opened), delay);
        clock.schedule(
                () ->
                        opened.completeExceptionally(
                                new IllegalStateException("opening the connection timed out")),
                timeout);
        return opened;
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> fetchStatus(
            LogPosition atLeast, Duration wait, Duration timeout) {
        group.countStatusRequest();
        CompletableFuture<Optional<ReplicationStatus>> response = withTimeout(timeout);
        clock.schedule(
                () -> pollStatus(response, atLeast, clock.nanoTime() + wait.toNanos()),
                ONE_WAY_LATENCY);
        return response;
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> promise(Term term, Duration timeout) {
        return sendControlRequest(() -> instance().promise(term), timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> promote(Term term, Duration timeout) {
        return sendControlRequest(() -> instance().promote(term), timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> follow(
            Term term, InstanceSpec primary, Duration timeout) {
        return sendControlRequest(() -> startReplication(term, primary), timeout);
    }

    @Override
    public void close() {
        // There are no resources to release.
    }

    private DatabaseInstance instance() {
        return group.instance(spec.id());
    }

    private boolean isReachable() {
        return group.faultInjector().isReachable(vm, spec.id());
    }

    private ReplicationStatus startReplication(Term term, InstanceSpec primary) {
        ReplicationStatus status = instance().promise(term);
        if (status.promisedTerm().equals(term) && !status.isPrimary()) {
            group.setReplicationSource(spec.id(), primary.id());
        }
        return status;
    }

    private void openSession(CompletableFuture<BackendConnection> opened) {
        if (!isReachable() || opened.isDone()) {
            return;
        }
        try {
            Optional<DatabaseSession> session = instance().openSession();
            if (session.isPresent()) {
                LocalConnection connection =
                        new LocalConnection(group, clock, vm, spec.id(), session.get());
                clock.schedule(() -> completeOpen(opened, connection), ONE_WAY_LATENCY);
            } else {
                opened.completeExceptionally(new IllegalStateException("connection limit reached"));
            }
        } catch (SQLException e) {
            opened.completeExceptionally(e);
        }
    }

    private static void completeOpen(
            CompletableFuture<BackendConnection> opened, LocalConnection connection) {
        if (!opened.complete(connection)) {
            connection.close();
        }
    }

    private void pollStatus(
            CompletableFuture<Optional<ReplicationStatus>> response,
            LogPosition atLeast,
            long deadlineNanos) {
        if (response.isDone()) {
            return;
        }
        boolean isFinal = clock.nanoTime() - deadlineNanos >= 0;
        if (isReachable() && (isFinal || instance().status().lastPosition().isAtLeast(atLeast))) {
            Optional<ReplicationStatus> status = Optional.of(instance().status());
            sendResponse(response, status);
        } else {
            clock.schedule(() -> pollStatus(response, atLeast, deadlineNanos), POLL_INTERVAL);
        }
    }

    private CompletionStage<Optional<ReplicationStatus>> sendControlRequest(
            Supplier<ReplicationStatus> operation, Duration timeout) {
        CompletableFuture<Optional<ReplicationStatus>> response = withTimeout(timeout);
        clock.schedule(
                () -> {
                    if (isReachable()) {
                        Optional<ReplicationStatus> status = Optional.of(operation.get());
                        sendResponse(response, status);
                    }
                },
                ONE_WAY_LATENCY);
        return response;
    }

    private void sendResponse(
            CompletableFuture<Optional<ReplicationStatus>> response,
            Optional<ReplicationStatus> status) {
        clock.schedule(
                () -> {
                    if (isReachable()) {
                        response.complete(status);
                    }
                },
                ONE_WAY_LATENCY);
    }

    private CompletableFuture<Optional<ReplicationStatus>> withTimeout(Duration timeout) {
        CompletableFuture<Optional<ReplicationStatus>> response = new CompletableFuture<>();
        clock.schedule(() -> response.complete(Optional.empty()), timeout);
        return response;
    }
}
