package org.carobstage.testbed.local;

import java.sql.SQLException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.BackendMessages.Execute;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.Statement;
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
        this.epoch = group.faults().epoch();
    }

    @Override
    public CompletionStage<Answer> execute(Statement statement, Duration timeout) {
        Execute message =
                new Execute(
                        statement.term().number(),
                        statement.sql(),
                        statement.parameters(),
                        statement.readOnly(),
                        statement.atLeast().term().number(),
                        statement.atLeast().offset(),
                        statement.key().map(IdempotencyKey::value).orElse(null));
        return exchange(() -> session.execute(message), true, timeout);
    }

    @Override
    public CompletionStage<Answer> begin(Term term, Duration timeout) {
        return exchange(() -> session.begin(term), false, timeout);
    }

    @Override
    public CompletionStage<Answer> commit(IdempotencyKey key, Duration timeout) {
        String text = Optional.ofNullable(key).map(IdempotencyKey::value).orElse(null);
        return exchange(() -> session.commit(text), true, timeout);
    }

    @Override
    public CompletionStage<Answer> rollback(Duration timeout) {
        return exchange(session::rollback, false, timeout);
    }

    @Override
    public CompletionStage<Answer> lookup(Term term, IdempotencyKey key, Duration timeout) {
        return exchange(() -> instance().lookup(term, key.value()), false, timeout);
    }

    @Override
    public CompletionStage<Answer> ping(Duration timeout) {
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
        return epoch == group.faults().epoch() && group.faults().reaches(vm, id);
    }

    private CompletionStage<Answer> exchange(
            Supplier<Answer> work, boolean needsSlot, Duration timeout) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        clock.schedule(() -> answer.complete(new Answer.Lost(true, "timeout")), timeout);
        clock.schedule(() -> arrive(answer, work, needsSlot), LocalBackend.LATENCY);
        return answer;
    }

    private void arrive(
            CompletableFuture<Answer> answer, Supplier<Answer> work, boolean needsSlot) {
        if (!isReached()) {
            return;
        }
        if (!needsSlot) {
            reply(answer, work.get());
            return;
        }
        if (!instance().takeSlot()) {
            reply(answer, new Answer.Refused(Refusal.LIMIT, "no slot is free"));
            return;
        }
        long service = instance().settings().serviceMillis();
        clock.schedule(() -> finish(answer, work), Duration.ofMillis(service));
    }

    private void finish(CompletableFuture<Answer> answer, Supplier<Answer> work) {
        instance().freeSlot();
        Answer value = work.get();
        if (!group.faults().losesAnswer()) {
            reply(answer, value);
        }
    }

    private void reply(CompletableFuture<Answer> answer, Answer value) {
        clock.schedule(
                () -> {
                    if (isReached()) {
                        answer.complete(value);
                    }
                },
                LocalBackend.LATENCY);
    }
}
