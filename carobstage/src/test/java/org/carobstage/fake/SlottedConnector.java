package org.carobstage.fake;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.AccountName;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.runtime.Clock;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.InstanceConnection;
import org.carobstage.upstream.InstanceConnector;

/**
 * Connections to the instances of a service whose openings and statements take slots. The item of a
 * statement is its work in ms.
 */
public final class SlottedConnector implements InstanceConnector {
    private static final Duration OPENING = Duration.ofMillis(12);
    private static final Duration STATUS = Duration.ofMillis(1);
    private static final Duration ROUND_TRIP = Duration.ofMillis(1);

    private final FakeService service;
    private final Clock clock;
    private final int slots;
    private final int queueLength;
    private final Map<InstanceId, InstanceSlots> slotsById = new HashMap<>();

    /** Creates a connector to instances with a number of slots and a length of their queues. */
    public SlottedConnector(FakeService service, int slots, int queueLength) {
        this.service = service;
        this.clock = service.clock;
        this.slots = slots;
        this.queueLength = queueLength;
        service.instances().forEach(i -> i.setStatementDuration(ROUND_TRIP));
    }

    @Override
    public void connect(
            InstanceEntry target,
            Optional<AccountName> account,
            Duration timeout,
            Listener listener) {
        FakeInstance instance = service.instance(target.id().value());
        Listener slotted =
                Listener.of(
                        c -> listener.onOpened(new SlottedConnection(c, target.id())),
                        listener::onOpenFailed,
                        listener::onLost);
        boolean accepted =
                slotsOf(target.id())
                        .submit(
                                OPENING,
                                () ->
                                        instance.connect(
                                                slotted, account, id -> true, MessageFilter.NONE));
        if (!accepted) {
            clock.schedule(() -> listener.onOpenFailed(OpenFailure.NO_ANSWER), timeout);
        }
    }

    private InstanceSlots slotsOf(InstanceId id) {
        return slotsById.computeIfAbsent(id, i -> new InstanceSlots(clock, slots, queueLength));
    }

    private static Duration workOf(Statement statement) {
        if (statement instanceof Statement.Read read) {
            return Duration.ofMillis(Long.parseLong(read.item()));
        }
        if (statement instanceof Statement.Write write) {
            return Duration.ofMillis(Long.parseLong(write.item()));
        }
        return statement instanceof Statement.Commit ? Duration.ofMillis(5) : Duration.ZERO;
    }

    private final class SlottedConnection implements InstanceConnection {
        private final InstanceConnection delegate;
        private final InstanceId instance;
        private TransactionState state = TransactionState.IDLE;

        private SlottedConnection(InstanceConnection delegate, InstanceId instance) {
            this.delegate = delegate;
            this.instance = instance;
        }

        @Override
        public void send(
                String id,
                Optional<LogPosition> required,
                Statement statement,
                Consumer<Optional<StatementResult>> callback) {
            Consumer<Optional<StatementResult>> recording =
                    result -> {
                        result.ifPresent(r -> state = r.transactionState());
                        callback.accept(result);
                    };
            Duration work = workOf(statement);
            if (work.isZero()) {
                delegate.send(id, required, statement, recording);
            } else if (!slotsOf(instance)
                    .submit(work, () -> delegate.send(id, required, statement, recording))) {
                Failure busy = Failure.of(FailureCode.BUSY, "queue full");
                clock.schedule(
                        () -> callback.accept(Optional.of(StatementResult.failed(busy, state))),
                        ROUND_TRIP);
            }
        }

        @Override
        public void sendControlCommand(Statement statement, Consumer<StatusResponse> callback) {
            if (!slotsOf(instance)
                    .submit(STATUS, () -> delegate.sendControlCommand(statement, callback))) {
                clock.schedule(
                        () -> callback.accept(new StatusResponse(true, Optional.empty())),
                        ROUND_TRIP);
            }
        }

        @Override
        public void close() {
            delegate.close();
        }
    }
}
