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

/** In-process connection of an entry VM to an instance. */
final class LocalConnection implements BackendConnection {
    private final LocalGroup group;
    private final Clock clock;
    private final VmId vm;
    private final InstanceId instanceId;
    private final DatabaseSession session;
    private final int connectionEpoch;

    LocalConnection(
            LocalGroup group,
            Clock clock,
            VmId vm,
            InstanceId instanceId,
            DatabaseSession session) {
        this.group = group;
        this.clock = clock;
        this.vm = vm;
        this.instanceId = instanceId;
        this.session = session;
        this.connectionEpoch = group.faultInjector().connectionEpoch();
    }

    @Override
    public CompletionStage<BackendResult> execute(BackendStatement statement, Duration timeout) {
        ExecuteRequest request =
                new ExecuteRequest(
                        statement.term().number(),
                        statement.sql(),
                        statement.parameters(),
                        statement.isReadOnly(),
                        statement.minLogPosition().term().number(),
                        statement.minLogPosition().offset(),
                        statement.key().map(IdempotencyKey::value).orElse(null));
        return sendRequest(() -> session.execute(request), true, timeout);
    }

    @Override
    public CompletionStage<BackendResult> begin(Term term, Duration timeout) {
        return sendRequest(() -> session.begin(term), false, timeout);
    }

    @Override
    public CompletionStage<BackendResult> commit(IdempotencyKey key, Duration timeout) {
        String keyText = Optional.ofNullable(key).map(IdempotencyKey::value).orElse(null);
        return sendRequest(() -> session.commit(keyText), true, timeout);
    }

    @Override
    public CompletionStage<BackendResult> rollback(Duration timeout) {
        return sendRequest(session::rollback, false, timeout);
    }

    @Override
    public CompletionStage<BackendResult> lookUpOutcome(
            Term term, IdempotencyKey key, Duration timeout) {
        return sendRequest(() -> instance().lookUpOutcome(term, key.value()), false, timeout);
    }

    @Override
    public CompletionStage<BackendResult> ping(Duration timeout) {
        return sendRequest(session::ping, false, timeout);
    }

    @Override
    public void close() {
        try {
            session.close();
        } catch (SQLException e) {
            throw new IllegalStateException("session could not be closed", e);
        }
    }

    private DatabaseInstance instance() {
        return group.instance(instanceId);
    }

    private boolean isReachable() {
        return connectionEpoch == group.faultInjector().connectionEpoch()
                && group.faultInjector().isReachable(vm, instanceId);
    }

    private CompletionStage<BackendResult> sendRequest(
            Supplier<BackendResult> operation, boolean needsSlot, Duration timeout) {
        CompletableFuture<BackendResult> response = new CompletableFuture<>();
        clock.schedule(
                () -> response.complete(new BackendResult.NoResponse(true, "timeout")), timeout);
        clock.schedule(
                () -> onRequestReceived(response, operation, needsSlot),
                LocalBackend.ONE_WAY_LATENCY);
        return response;
    }

    private void onRequestReceived(
            CompletableFuture<BackendResult> response,
            Supplier<BackendResult> operation,
            boolean needsSlot) {
        if (!isReachable()) {
            return;
        }
        if (!needsSlot) {
            sendResponse(response, operation.get());
            return;
        }
        if (!instance().tryAcquireSlot()) {
            sendResponse(response, new BackendResult.Refused(Refusal.LIMIT, "no slot is free"));
            return;
        }
        long serviceTimeMillis = instance().settings().serviceTimeMillis();
        clock.schedule(
                () -> completeInSlot(response, operation), Duration.ofMillis(serviceTimeMillis));
    }

    private void completeInSlot(
            CompletableFuture<BackendResult> response, Supplier<BackendResult> operation) {
        instance().releaseSlot();
        BackendResult result = operation.get();
        if (!group.faultInjector().tryConsumeResponseDrop()) {
            sendResponse(response, result);
        }
    }

    private void sendResponse(CompletableFuture<BackendResult> response, BackendResult result) {
        clock.schedule(
                () -> {
                    if (isReachable()) {
                        response.complete(result);
                    }
                },
                LocalBackend.ONE_WAY_LATENCY);
    }
}
