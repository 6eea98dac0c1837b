package org.carobstage.upstream;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.runtime.Clock;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;

/** A primary with slots and a FIFO queue, which refuses statements while the queue is full. */
final class SimulatedInstance {
    static final ServiceName SERVICE = ServiceName.of("forms");

    private static final int SLOTS = 6;
    private static final int QUEUE_LENGTH = 48;
    private static final int MAX_CONNECTIONS = 82;
    private static final Duration OPENING = Duration.ofMillis(12);
    private static final Duration ROUND_TRIP = Duration.ofMillis(1);

    private final Clock clock;
    private final Queue<Job> queue = new ArrayDeque<>();
    private final List<SimulatedConnection> connections = new ArrayList<>();
    private int running;
    private int slowdown = 1;
    private boolean down;

    SimulatedInstance(Clock clock) {
        this.clock = clock;
    }

    InstanceEntry entry() {
        return new InstanceEntry(
                InstanceId.of("a"),
                SERVICE,
                Address.of("127.0.0.1", 1),
                FailureDomain.of("domain"),
                SLOTS,
                false,
                true,
                0,
                0);
    }

    /** Multiplies the duration of statements that start from now on. */
    void slowDown(int factor) {
        slowdown = factor;
    }

    /** Resets all connections and accepts none until it is up again. */
    void setDown(boolean isDown) {
        down = isDown;
        if (down) {
            queue.clear();
            List.copyOf(connections).forEach(SimulatedConnection::reset);
        }
    }

    InstanceConnector connector() {
        return (target, account, timeout, listener) -> {
            if (down) {
                clock.schedule(
                        () -> listener.onOpenFailed(InstanceConnector.OpenFailure.RESET),
                        ROUND_TRIP);
            } else if (connections.size() >= MAX_CONNECTIONS) {
                clock.schedule(
                        () -> listener.onOpenFailed(InstanceConnector.OpenFailure.CONNECTION_LIMIT),
                        ROUND_TRIP);
            } else {
                open(listener, timeout);
            }
        };
    }

    private void open(InstanceConnector.Listener listener, Duration timeout) {
        SimulatedConnection connection = new SimulatedConnection(listener);
        if (submit(new Job(OPENING, () -> listener.onOpened(connection)))) {
            connections.add(connection);
        } else {
            clock.schedule(
                    () -> listener.onOpenFailed(InstanceConnector.OpenFailure.NO_ANSWER), timeout);
        }
    }

    private boolean submit(Job job) {
        if (running < SLOTS) {
            run(job);
        } else if (queue.size() < QUEUE_LENGTH) {
            queue.add(job);
        } else {
            return false;
        }
        return true;
    }

    private void run(Job job) {
        running++;
        clock.schedule(
                () -> {
                    running--;
                    Optional.ofNullable(queue.poll()).ifPresent(this::run);
                    clock.schedule(job.onDone, ROUND_TRIP);
                },
                job.duration.multipliedBy(slowdown));
    }

    private static Duration durationOf(Statement statement) {
        return Duration.ofMillis(
                statement instanceof Statement.Read read ? Long.parseLong(read.item()) : 1);
    }

    private record Job(Duration duration, Runnable onDone) {}

    private final class SimulatedConnection implements InstanceConnection {
        private final InstanceConnector.Listener listener;
        private final List<Consumer<Optional<StatementResult>>> pending = new ArrayList<>();
        private TransactionState state = TransactionState.IDLE;

        private SimulatedConnection(InstanceConnector.Listener listener) {
            this.listener = listener;
        }

        @Override
        public void send(
                String id,
                Optional<LogPosition> required,
                Statement statement,
                Consumer<Optional<StatementResult>> callback) {
            pending.add(callback);
            boolean accepted =
                    submit(
                            new Job(
                                    durationOf(statement),
                                    () -> respond(callback, execute(statement))));
            if (!accepted) {
                Failure busy = Failure.of(FailureCode.BUSY, "queue full");
                StatementResult result = StatementResult.failed(busy, state);
                clock.schedule(() -> respond(callback, result), ROUND_TRIP);
            }
        }

        @Override
        public void sendControlCommand(Statement statement, Consumer<StatusResponse> callback) {
            InstanceStatus status =
                    new InstanceStatus(true, Term.of(1), LogPosition.of(1, 0), Term.ZERO);
            clock.schedule(
                    () -> callback.accept(new StatusResponse(true, Optional.of(status))),
                    ROUND_TRIP);
        }

        @Override
        public void close() {
            connections.remove(this);
        }

        private StatementResult execute(Statement statement) {
            state =
                    statement instanceof Statement.Begin
                            ? TransactionState.OPEN
                            : statement instanceof Statement.Rollback
                                    ? TransactionState.IDLE
                                    : state;
            return StatementResult.success(state);
        }

        private void respond(Consumer<Optional<StatementResult>> callback, StatementResult result) {
            if (pending.remove(callback)) {
                callback.accept(Optional.of(result));
            }
        }

        private void reset() {
            connections.remove(this);
            listener.onLost();
            List<Consumer<Optional<StatementResult>>> unanswered = List.copyOf(pending);
            pending.clear();
            unanswered.forEach(callback -> callback.accept(Optional.empty()));
        }
    }
}
