package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.model.AccountName;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.sql.FailureCode;
import org.carobstage.upstream.InstanceConnector;

/** An in-memory instance: its role, log position, connections and executed statements. */
public final class FakeInstance {
    final FakeService service;
    final InstanceId id;
    private final String domain;
    final List<FakeConnection> connections = new ArrayList<>();
    final List<String> executedStatements = new ArrayList<>();
    Term term = Term.of(1);
    LogPosition receivedPosition = LogPosition.of(1, 0);
    private Term newestTerm = term;
    Term pauseTerm = Term.ZERO;
    private Duration replicationDelay = Duration.ZERO;
    final PendingCommits pendingCommits = new PendingCommits();
    final List<FakeConnection> unreadConnections = new ArrayList<>();
    int restartCount;
    boolean primary;
    boolean crashed;
    boolean unresponsive;
    private boolean replicationBlocked;
    private boolean draining;
    Duration statementDuration = Duration.ofMillis(5);
    Optional<FailureCode> injectedFailure = Optional.empty();
    int remainingFailures;
    int remainingDrops;
    int remainingStatusFailures;
    int statusQueryCount;
    int stepDownCount;
    private boolean ignoringStepDown;
    int runningStatements;
    private int connectionLimit = Integer.MAX_VALUE;
    private int refusalCount;
    private int openingCount;
    final Map<String, Optional<AccountName>> executingAccounts = new HashMap<>();
    int maxConcurrentStatements;

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
        return pauseTerm;
    }

    public boolean isPrimary() {
        return primary;
    }

    public boolean isCrashed() {
        return crashed;
    }

    public boolean isUnresponsive() {
        return unresponsive;
    }

    public boolean isReceivingReplication() {
        return !primary
                && !crashed
                && !unresponsive
                && !replicationBlocked
                && pauseTerm.equals(Term.ZERO);
    }

    /**
     * Returns whether a commit of a primary reaches this replica; one of an older term does not.
     */
    boolean isReceiving(LogPosition position) {
        return isReceivingReplication() && !term.isAfter(position.term());
    }

    boolean isServingAsPrimary() {
        return primary && !crashed && !unresponsive;
    }

    Duration replicationDelay() {
        return replicationDelay;
    }

    /** Sets how long the commits of the primary take to arrive here. */
    public void setReplicationDelay(Duration delay) {
        replicationDelay = delay;
    }

    public InstanceEntry instanceEntry() {
        return FakeService.toInstanceEntry(this, draining);
    }

    /**
     * Returns the executed statements in order, each as request id, statement and session
     * variables.
     */
    public List<String> executedStatements() {
        return executedStatements;
    }

    /** Returns the highest number of client statements that were in progress at the same time. */
    public int maxConcurrentStatements() {
        return maxConcurrentStatements;
    }

    public int openConnectionCount() {
        return connections.size();
    }

    /** Sets how many connections of all processes the instance accepts. */
    public void setConnectionLimit(int limit) {
        connectionLimit = limit;
    }

    /** Returns how many connections were refused at the limit. */
    public int refusalCount() {
        return refusalCount;
    }

    /** Returns how many connections were accepted. */
    public int openingCount() {
        return openingCount;
    }

    /** Returns the account of the connection that executed each request, by request id. */
    public Map<String, Optional<AccountName>> executingAccounts() {
        return executingAccounts;
    }

    public List<Set<String>> preparedStatementNames() {
        return connections.stream().map(connection -> connection.preparedStatements).toList();
    }

    public FakeInstance drain() {
        draining = true;
        return this;
    }

    /** Crashes the instance: open connections are reset, and a pause ends. */
    public void crash() {
        crashed = true;
        restartCount++;
        pauseTerm = Term.ZERO;
        unreadConnections.clear();
        pendingCommits.drop();
        List.copyOf(connections).forEach(FakeConnection::reset);
    }

    /** Stops all responses without resetting a connection. */
    public void stopResponding() {
        unresponsive = true;
    }

    /** Starts again after a crash, or continues with what has arrived during a silence. */
    public void recover() {
        boolean silent = unresponsive;
        unresponsive = false;
        crashed = false;
        if (silent) {
            onReceived(service.newestReceived(this));
            connections.forEach(FakeConnection::scheduleAll);
            unreadConnections.forEach(FakeConnection::scheduleAll);
            unreadConnections.clear();
        }
        if (primary) {
            service.replicate(this);
        } else {
            service.catchUp(this);
        }
    }

    /** Starts again as a replica that knows nothing of before, and receives what it can. */
    public void restartWithoutLog() {
        crash();
        primary = false;
        term = Term.ZERO;
        newestTerm = Term.ZERO;
        receivedPosition = LogPosition.empty();
        recover();
    }

    /** Starts again in its role and term with a log that ends earlier. */
    public void restartWithLog(LogPosition end) {
        crash();
        receivedPosition = end;
        crashed = false;
    }

    public void setReplicationBlocked(boolean blocked) {
        replicationBlocked = blocked;
        service.catchUp(this);
    }

    public void setStatementDuration(Duration duration) {
        statementDuration = duration;
    }

    /** Makes the next client statements fail with an error code. */
    public void failStatements(FailureCode code, int count) {
        injectedFailure = Optional.of(code);
        remainingFailures = count;
    }

    /** Makes the next status queries fail with {@code BUSY}. */
    public void failStatusQueries(int count) {
        remainingStatusFailures = count;
    }

    /** Executes commands to step down without effect. */
    public void ignoreStepDown() {
        ignoringStepDown = true;
    }

    public boolean isIgnoringStepDown() {
        return ignoringStepDown;
    }

    public int stepDownCount() {
        return stepDownCount;
    }

    public int statusQueryCount() {
        return statusQueryCount;
    }

    /** Executes the next client statements, but resets the connection instead of responding. */
    public void dropResponses(int count) {
        remainingDrops = count;
    }

    /** Stops the responses on all open connections; new connections work. */
    public void stallOpenConnections() {
        connections.forEach(connection -> connection.stalled = true);
    }

    public void receive(LogPosition position) {
        receivedPosition = receivedPosition.max(position);
    }

    /** Acknowledges what a replica has received, unless this instance is silent. */
    void onReceived(LogPosition position) {
        if (isServingAsPrimary()) {
            pendingCommits.acknowledge(position);
        }
    }

    public void becomePrimary(Term newTerm) {
        primary = true;
        enterTerm(newTerm);
        receivedPosition = LogPosition.of(newTerm.number(), receivedPosition.offset());
    }

    /** Pauses replication if the term is above every term that this replica has seen. */
    public void pauseReplication(Term requestedTerm) {
        if (!primary && requestedTerm.isAfter(newestTerm)) {
            newestTerm = requestedTerm;
            pauseTerm = requestedTerm;
        }
    }

    public void resumeReplication() {
        pauseTerm = Term.ZERO;
        service.catchUp(this);
    }

    public void demote(Term newTerm) {
        primary = false;
        enterTerm(newTerm);
        pendingCommits.drop();
    }

    private void enterTerm(Term newTerm) {
        term = newTerm;
        newestTerm = newTerm.isAfter(newestTerm) ? newTerm : newestTerm;
        pauseTerm = Term.ZERO;
    }

    void follow(FakeInstance newPrimary, Term newTerm) {
        if (newPrimary != this) {
            demote(newTerm);
        }
    }

    void connect(
            InstanceConnector.Listener listener,
            Optional<AccountName> account,
            Predicate<InstanceId> reachable,
            MessageFilter filter) {
        if (connections.size() >= connectionLimit) {
            refusalCount++;
            listener.onOpenFailed(InstanceConnector.OpenFailure.CONNECTION_LIMIT);
            return;
        }
        openingCount++;
        FakeConnection connection = new FakeConnection(this, listener, account, reachable, filter);
        connections.add(connection);
        listener.onOpened(connection);
    }
}
