package org.carobstage.transaction;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.carobstage.backend.BackendConnection;
import org.carobstage.document.RequestPolicy;
import org.carobstage.group.Group;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.pool.AcquireResult;
import org.carobstage.runtime.Clock;

/** The state of one open transaction; it changes only on the worker thread. */
final class OpenTransaction {
    private static final int COMMITS_PER_PATIENCE = 3;

    private final ServiceName service;
    private final RequestPolicy policy;
    private final Group group;
    private final InstanceId primary;
    private final Term term;
    private final BackendConnection connection;
    private Clock.Timer timer = () -> {};
    private boolean busy;

    OpenTransaction(
            ServiceName service,
            RequestPolicy policy,
            Group group,
            InstanceId primary,
            Term term,
            BackendConnection connection) {
        this.service = requireNonNull(service, "service is null");
        this.policy = requireNonNull(policy, "policy is null");
        this.group = requireNonNull(group, "group is null");
        this.primary = requireNonNull(primary, "primary is null");
        this.term = requireNonNull(term, "term is null");
        this.connection = requireNonNull(connection, "connection is null");
    }

    ServiceName service() {
        return service;
    }

    RequestPolicy policy() {
        return policy;
    }

    Group group() {
        return group;
    }

    Term term() {
        return term;
    }

    BackendConnection connection() {
        return connection;
    }

    boolean isBusy() {
        return busy;
    }

    Duration patience() {
        return policy.patience();
    }

    /** Returns how long to wait for the response to a commit before its outcome is looked up. */
    Duration commitTimeout() {
        return policy.patience().dividedBy(COMMITS_PER_PATIENCE);
    }

    /** Marks the start of an exchange and stops the idle timer. */
    void startExchange() {
        busy = true;
        timer.cancel();
    }

    /** Acquires a slot for a statement or the commit. */
    CompletionStage<AcquireResult> acquireSlot() {
        return group.pool(primary).reacquireSlot(connection, patience());
    }

    /** Marks the end of the exchange, replaces the idle timer and releases the slot. */
    void endExchange(Clock.Timer idleTimer) {
        busy = false;
        timer = idleTimer;
        group.pool(primary).releaseSlot(connection);
    }

    /** Returns the connection to the pool, which closes it unless it is known to be clean. */
    void release(boolean isClean) {
        timer.cancel();
        group.pool(primary).release(connection, isClean);
    }
}
