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

/** An entry VM's client of an instance in this process; each way takes a fixed latency. */
final class LocalBackend implements Backend {
    static final Duration ONE_WAY_LATENCY = Duration.ofMillis(1);
    private static final Duration POLL = Duration.ofMillis(1);

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
        clock.schedule(() -> openNow(opened), delay);
        clock.schedule(
                () -> opened.completeExceptionally(new IllegalStateException("timeout")), timeout);
        return opened;
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> fetchStatus(
            LogPosition atLeast, Duration wait, Duration timeout) {
        group.countStatusRequest();
        CompletableFuture<Optional<ReplicationStatus>> answer = withTimeout(timeout);
        clock.schedule(
                () -> poll(answer, atLeast, clock.nanoTime() + wait.toNanos()), ONE_WAY_LATENCY);
        return answer;
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> promise(Term term, Duration timeout) {
        return control(() -> instance().promise(term), timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> promote(Term term, Duration timeout) {
        return control(() -> instance().promote(term), timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> follow(
            Term term, InstanceSpec primary, Duration timeout) {
        return control(() -> followNow(term, primary), timeout);
    }

    @Override
    public void close() {
        // Nothing is held open.
    }

    private DatabaseInstance instance() {
        return group.instance(spec.id());
    }

    private boolean isReached() {
        return group.faultInjector().isReachable(vm, spec.id());
    }

    private ReplicationStatus followNow(Term term, InstanceSpec primary) {
        ReplicationStatus standing = instance().promise(term);
        if (standing.promisedTerm().equals(term) && !standing.isPrimary()) {
            group.setReplicationSource(spec.id(), primary.id());
        }
        return standing;
    }

    private void openNow(CompletableFuture<BackendConnection> opened) {
        if (!isReached() || opened.isDone()) {
            return;
        }
        try {
            Optional<DatabaseSession> session = instance().openSession();
            if (session.isPresent()) {
                LocalConnection connection =
                        new LocalConnection(group, clock, vm, spec.id(), session.get());
                clock.schedule(() -> deliver(opened, connection), ONE_WAY_LATENCY);
            } else {
                opened.completeExceptionally(new IllegalStateException("no connection is free"));
            }
        } catch (SQLException e) {
            opened.completeExceptionally(e);
        }
    }

    private static void deliver(
            CompletableFuture<BackendConnection> opened, LocalConnection connection) {
        if (!opened.complete(connection)) {
            connection.close();
        }
    }

    private void poll(
            CompletableFuture<Optional<ReplicationStatus>> answer,
            LogPosition atLeast,
            long untilNanos) {
        if (answer.isDone()) {
            return;
        }
        boolean isFinal = clock.nanoTime() - untilNanos >= 0;
        if (isReached() && (isFinal || instance().status().lastPosition().isAtLeast(atLeast))) {
            Optional<ReplicationStatus> standing = Optional.of(instance().status());
            reply(answer, standing);
        } else {
            clock.schedule(() -> poll(answer, atLeast, untilNanos), POLL);
        }
    }

    private CompletionStage<Optional<ReplicationStatus>> control(
            Supplier<ReplicationStatus> work, Duration timeout) {
        CompletableFuture<Optional<ReplicationStatus>> answer = withTimeout(timeout);
        clock.schedule(
                () -> {
                    if (isReached()) {
                        Optional<ReplicationStatus> standing = Optional.of(work.get());
                        reply(answer, standing);
                    }
                },
                ONE_WAY_LATENCY);
        return answer;
    }

    private void reply(
            CompletableFuture<Optional<ReplicationStatus>> answer,
            Optional<ReplicationStatus> standing) {
        clock.schedule(
                () -> {
                    if (isReached()) {
                        answer.complete(standing);
                    }
                },
                ONE_WAY_LATENCY);
    }

    private CompletableFuture<Optional<ReplicationStatus>> withTimeout(Duration timeout) {
        CompletableFuture<Optional<ReplicationStatus>> answer = new CompletableFuture<>();
        clock.schedule(() -> answer.complete(Optional.empty()), timeout);
        return answer;
    }
}
