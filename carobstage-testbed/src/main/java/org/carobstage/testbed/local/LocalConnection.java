package org.carobstage.testbed.local;

import java.sql.SQLException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.BackendMessages.ExecuteRequest;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.BackendStatement;
import org.carobstage.backend.Refusal;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.DatabaseSession;

/** A connection to an instance in this process. */
final class LocalConnection implements BackendConnection {
    private final LocalGroup group;
    private final Clock clock;
    private final VmId vm;
    private final InstanceId id;
    private final DatabaseSession session;
    private final int epoch;

    LocalConnection(
            LocalGroup group, Clock clock, VmId vm, InstanceId id, DatabaseSession session) {
        this.group = group;
        this.clock = clock;
        this.vm = vm;
        this.id = id;
        this.session = session;
        this.epoch = group.faultInjector().connectionEpoch();
    }

    @Override
    public CompletionStage<BackendResult> execute(BackendStatement statement, Duration timeout) {
        ExecuteRequest message =
                new ExecuteRequest(
                        statement.term().number(),
                        statement.sql(),
                        statement.parameters(),
                        statement.isReadOnly(),
                        statement.minLogPosition().term().number(),
                        statement.minLogPosition().offset(),
                        statement.key().map(IdempotencyKey::value).orElse(null));
        return exchange(() -> session.execute(message), true, timeout);
    }

    @Override
    public CompletionStage<BackendResult> begin(Term term, Duration timeout) {
        return exchange(() -> session.begin(term), false, timeout);
    }

    @Override
    public CompletionStage<BackendResult> commit(IdempotencyKey key, Duration timeout) {
        String text = Optional.ofNullable(key).map(IdempotencyKey::value).orElse(null);
        return exchange(() -> session.commit(text), true, timeout);
    }

    @Override
    public CompletionStage<BackendResult> rollback(Duration timeout) {
        return exchange(session::rollback, false, timeout);
    }

    @Override
    public CompletionStage<BackendResult> lookUpOutcome(
            Term term, IdempotencyKey key, Duration timeout) {
        return exchange(() -> instance().lookupOutcome(term, key.value()), false, timeout);
    }

    @Override
    public CompletionStage<BackendResult> ping(Duration timeout) {
        return exchange(session::ping, false, timeout);
    }

    @Override
    public void close() {
        try {
            session.close();
        } catch (SQLException e) {
            throw new IllegalStateException("session did not close", e);
        }
    }

    private DatabaseInstance instance() {
        return group.instance(id);
    }

    private boolean isReached() {
        return epoch == group.faultInjector().connectionEpoch()
                && group.faultInjector().isReachable(vm, id);
    }

    private CompletionStage<BackendResult> exchange(
            Supplier<BackendResult> work, boolean needsSlot, Duration timeout) {
        CompletableFuture<BackendResult> answer = new CompletableFuture<>();
        clock.schedule(
                () -> answer.complete(new BackendResult.NoResponse(true, "timeout")), timeout);
        clock.schedule(() -> arrive(answer, work, needsSlot), LocalBackend.ONE_WAY_LATENCY);
        return answer;
    }

    private void arrive(
            CompletableFuture<BackendResult> answer,
            Supplier<BackendResult> work,
            boolean needsSlot) {
        if (!isReached()) {
            return;
        }
        if (!needsSlot) {
            reply(answer, work.get());
            return;
        }
        if (!instance().tryAcquireSlot()) {
            reply(answer, new BackendResult.Refused(Refusal.LIMIT, "no slot is free"));
            return;
        }
        long service = instance().settings().serviceTimeMillis();
        clock.schedule(() -> finish(answer, work), Duration.ofMillis(service));
    }

    private void finish(CompletableFuture<BackendResult> answer, Supplier<BackendResult> work) {
        instance().releaseSlot();
        BackendResult value = work.get();
        if (!group.faultInjector().tryConsumeResponseDrop()) {
            reply(answer, value);
        }
    }

    private void reply(CompletableFuture<BackendResult> answer, BackendResult value) {
        clock.schedule(
                () -> {
                    if (isReached()) {
                        answer.complete(value);
                    }
                },
                LocalBackend.ONE_WAY_LATENCY);
    }
}
