package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.InstanceStatus;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.sql.TransactionState;
import org.carobstage.upstream.InstanceConnection;
import org.carobstage.upstream.InstanceConnector;

/** One instance: role, log, connections and what it has run. */
public final class FakeInstance {
    private final FakeService service;
    private final InstanceId id;
    private final String domain;
    private final List<Connection> connections = new ArrayList<>();
    private final List<String> executedStatements = new ArrayList<>();
    private Term term = Term.of(1);
    private LogPosition receivedPosition = LogPosition.of(1, 0);
    private Term replicationPauseTerm = Term.ZERO;
    private boolean primary;
    private boolean down;
    private boolean dark;
    private boolean deaf;
    private boolean draining;
    private Duration work = Duration.ofMillis(5);
    private Optional<FailureCode> refusal = Optional.empty();
    private int refusals;
    private int dropResponses;
    private int statusRefusals;
    private int statusQueryCount;
    private int running;
    private int maxConcurrentStatements;

    FakeInstance(FakeService service, InstanceId id, String domain) {
        this.service = service;
        this.id = id;
        this.domain = domain;
    }

    public InstanceId id() {
        return id;
    }

    public String domain() {
        return domain;
    }

    public Term term() {
        return term;
    }

    public LogPosition receivedPosition() {
        return receivedPosition;
    }

    public Term replicationPauseTerm() {
        return replicationPauseTerm;
    }

    public boolean isPrimary() {
        return primary;
    }

    public boolean isDown() {
        return down;
    }

    public boolean isUnresponsive() {
        return dark;
    }

    public boolean isReceivingReplication() {
        return !primary && !down && !dark && !deaf && replicationPauseTerm.equals(Term.ZERO);
    }

    public InstanceEntry instanceEntry() {
        return FakeService.toInstanceEntry(this, draining);
    }

    /** What it has run: request id and statement, in order. */
    public List<String> executedStatements() {
        return executedStatements;
    }

    /** The most statements of clients that it had to run at once. */
    public int maxConcurrentStatements() {
        return maxConcurrentStatements;
    }

    public int openConnectionCount() {
        return connections.size();
    }

    public List<Set<String>> preparedStatementNames() {
        return connections.stream().map(c -> c.prepared).toList();
    }

    public FakeInstance drain() {
        draining = true;
        return this;
    }

    /** Stops at once: connections are reset. */
    public void crash() {
        down = true;
        List.copyOf(connections).forEach(Connection::reset);
    }

    /** No longer answers, and no connection is reset. */
    public void stopResponding() {
        dark = true;
    }

    public void recover() {
        dark = false;
        down = false;
    }

    public void setReplicationBlocked(boolean now) {
        deaf = now;
    }

    public void setStatementDuration(Duration time) {
        work = time;
    }

    /** Refuses the next statements of clients. */
    public void failStatements(FailureCode code, int times) {
        refusal = Optional.of(code);
        refusals = times;
    }

    /** Is too busy for the next questions for its status. */
    public void failStatusQueries(int times) {
        statusRefusals = times;
    }

    public int statusQueryCount() {
        return statusQueryCount;
    }

    /** Runs the next statements of clients and resets the connection in place of an answer. */
    public void dropResponses(int times) {
        dropResponses = times;
    }

    /** Lets all open connections go silent; new ones work. */
    public void stallOpenConnections() {
        connections.forEach(c -> c.silent = true);
    }

    public void receive(LogPosition position) {
        receivedPosition = receivedPosition.max(position);
    }

    public void becomePrimary(Term newTerm) {
        primary = true;
        term = newTerm;
        replicationPauseTerm = Term.ZERO;
        receivedPosition = LogPosition.of(newTerm.number(), receivedPosition.offset());
    }

    /** Stops receiving, as if a holder that has died since had ordered it. */
    public void pauseReplication(Term pausedTerm) {
        replicationPauseTerm = pausedTerm;
    }

    public void demote(Term newTerm) {
        primary = false;
        term = newTerm;
        replicationPauseTerm = Term.ZERO;
    }

    void follow(FakeInstance next, Term newTerm) {
        if (next != this) {
            demote(newTerm);
        }
    }

    void connect(InstanceConnector.Listener listener, Predicate<InstanceId> reaches) {
        Connection connection = new Connection(listener, reaches);
        connections.add(connection);
        listener.onOpened(connection);
    }

    private record Question(
            String id,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<Optional<StatementResult>> then) {}

    /** One connection, which answers its questions in their order. */
    private final class Connection implements InstanceConnection {
        private final InstanceConnector.Listener listener;
        private final Predicate<InstanceId> reaches;
        private final Deque<Question> questions = new ArrayDeque<>();
        private final Map<String, String> values = new HashMap<>();
        private final Set<String> prepared = new HashSet<>();
        private TransactionState state = TransactionState.IDLE;
        private boolean plain;
        private boolean silent;
        private boolean over;

        private Connection(InstanceConnector.Listener listener, Predicate<InstanceId> reaches) {
            this.listener = listener;
            this.reaches = reaches;
        }

        @Override
        public void send(
                String requestId,
                Optional<LogPosition> required,
                Statement statement,
                Consumer<Optional<StatementResult>> whenAnswered) {
            if (over) {
                whenAnswered.accept(Optional.empty());
                return;
            }
            questions.add(new Question(requestId, required, statement, whenAnswered));
            running += requestId.isEmpty() ? 0 : 1;
            maxConcurrentStatements = Math.max(maxConcurrentStatements, running);
            boolean heavy =
                    statement instanceof Statement.Read
                            || statement instanceof Statement.Execute
                            || statement.isWriteOrCommit();
            service.clock.schedule(this::answerNext, heavy ? work : Duration.ofMillis(1));
        }

        @Override
        public void sendControlCommand(Statement statement, Consumer<StatusResponse> whenAnswered) {
            send(
                    "",
                    Optional.empty(),
                    statement,
                    answer ->
                            whenAnswered.accept(
                                    new StatusResponse(
                                            answer.isPresent(),
                                            answer.filter(StatementResult::isSuccessful)
                                                    .map(
                                                            a ->
                                                                    new InstanceStatus(
                                                                            primary,
                                                                            term,
                                                                            receivedPosition,
                                                                            replicationPauseTerm)))));
        }

        @Override
        public void close() {
            reset();
        }

        private void answerNext() {
            if (over || dark || silent || questions.isEmpty() || !reaches.test(id)) {
                return;
            }
            Question question = questions.peek();
            boolean commits = question.statement().isWriteOrCommit();
            if (commits && primary && !service.hasReceivingReplica(FakeInstance.this)) {
                service.clock.schedule(this::answerNext, Duration.ofMillis(20));
                return;
            }
            questions.poll();
            running -= question.id().isEmpty() ? 0 : 1;
            StatementResult answer = run(question);
            if (!question.id().isEmpty() && dropResponses > 0 && answer.isSuccessful()) {
                dropResponses--;
                reset();
                question.then().accept(Optional.empty());
                return;
            }
            question.then().accept(Optional.of(answer));
        }

        private StatementResult run(Question question) {
            Statement statement = question.statement();
            if (!question.id().isEmpty() && refusals > 0) {
                refusals--;
                return fail(refusal.orElseThrow());
            }
            if (statement instanceof Statement.QueryStatus) {
                statusQueryCount++;
                if (statusRefusals > 0) {
                    statusRefusals--;
                    return fail(FailureCode.BUSY);
                }
            }
            if (question.required().filter(p -> !receivedPosition.isAtLeast(p)).isPresent()) {
                return fail(FailureCode.REPLICA_BEHIND);
            }
            boolean leads = primary;
            if (statement instanceof Statement.Begin begin) {
                if (!begin.isReadOnly() && !leads) {
                    return fail(FailureCode.NOT_PRIMARY);
                }
                plain = !begin.isReadOnly();
                state = TransactionState.OPEN;
            } else if (state == TransactionState.OPEN && plain && !leads) {
                state = TransactionState.FAILED;
                if (!(statement instanceof Statement.Rollback)) {
                    return fail(FailureCode.NOT_PRIMARY);
                }
            } else if (statement instanceof Statement.Write && !leads) {
                return fail(FailureCode.NOT_PRIMARY);
            }
            apply(question);
            return new StatementResult(
                    List.of(),
                    "signed-by-" + id,
                    Optional.empty(),
                    state,
                    Optional.of(receivedPosition));
        }

        private void apply(Question question) {
            Statement statement = question.statement();
            if (statement instanceof Statement.Write && state == TransactionState.IDLE) {
                service.commit(FakeInstance.this);
            } else if (statement instanceof Statement.Commit) {
                if (plain) {
                    service.commit(FakeInstance.this);
                }
                state = TransactionState.IDLE;
            } else if (statement instanceof Statement.Rollback) {
                state = TransactionState.IDLE;
            } else if (statement instanceof Statement.SetVariable set) {
                values.put(set.name(), set.value());
            } else if (statement instanceof Statement.Reset) {
                values.clear();
                prepared.clear();
            } else if (statement instanceof Statement.Prepare prepare) {
                prepared.add(prepare.name());
            } else if (statement instanceof Statement.PauseReplication pause) {
                replicationPauseTerm = pause.term();
            } else if (statement instanceof Statement.ResumeReplication) {
                replicationPauseTerm = Term.ZERO;
            }
            if (!question.id().isEmpty()) {
                executedStatements.add(question.id() + " " + statement + " " + values);
            }
        }

        private StatementResult fail(FailureCode code) {
            if (state == TransactionState.OPEN && code != FailureCode.BUSY) {
                state = TransactionState.FAILED;
            }
            return new StatementResult(
                    List.of(),
                    StatementResult.UNSIGNED,
                    Optional.of(Failure.of(code, id.value())),
                    state,
                    Optional.of(receivedPosition));
        }

        private void reset() {
            if (drop()) {
                listener.onLost();
                List<Question> unanswered = List.copyOf(questions);
                questions.clear();
                unanswered.forEach(q -> q.then().accept(Optional.empty()));
            }
        }

        private boolean drop() {
            boolean first = !over;
            over = true;
            connections.remove(this);
            return first;
        }
    }
}
