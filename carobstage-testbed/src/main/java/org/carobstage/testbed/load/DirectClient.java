package org.carobstage.testbed.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.BackendStatement;
import org.carobstage.backend.HttpBackend;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.testbed.history.Entry;

/**
 * A client that connects to one instance without an entry VM, to compare latencies and to read the
 * final entries.
 */
public final class DirectClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final Backend backend;
    private final ReplicationStatus status;
    private final Deque<BackendConnection> idleConnections = new ArrayDeque<>();
    private final Deque<CompletableFuture<BackendConnection>> waiters = new ArrayDeque<>();

    private DirectClient(Backend backend, ReplicationStatus status) {
        this.backend = backend;
        this.status = status;
    }

    /**
     * Opens connections to an instance.
     *
     * @param address the address of the instance
     * @param connections the number of connections to open
     * @return the client
     */
    public static DirectClient of(Address address, int connections) {
        InstanceId any = InstanceId.of("any");
        Backend backend = HttpBackend.of(new InstanceSpec(any, address, FailureDomain.of("any")));
        ReplicationStatus status = fetchStatus(backend).orElseThrow();
        DirectClient client = new DirectClient(backend, status);
        List<CompletableFuture<BackendConnection>> pendingConnections = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            pendingConnections.add(backend.openConnection(TIMEOUT).toCompletableFuture());
        }
        pendingConnections.forEach(connection -> client.idleConnections.push(connection.join()));
        return client;
    }

    /**
     * Returns whether the instance was primary when this client was opened.
     *
     * @return true if it was primary
     */
    public boolean isPrimary() {
        return status.isPrimary();
    }

    /**
     * Returns the term of the instance when this client was opened.
     *
     * @return the term
     */
    public Term term() {
        return status.promisedTerm();
    }

    /**
     * Lists the entries of an owner.
     *
     * @param owner the owner
     * @return the result of the statement
     */
    public CompletionStage<BackendResult> listEntries(String owner) {
        return execute(Entry.SELECT_BY_OWNER, List.of(owner));
    }

    /**
     * Lists the entries of all owners.
     *
     * @return all entries
     */
    public List<Entry> listAllEntries() {
        BackendResult result = execute(Entry.SELECT_ALL, List.of()).toCompletableFuture().join();
        return ((BackendResult.Done) result).rows().stream().map(Entry::of).toList();
    }

    @Override
    public void close() {
        synchronized (this) {
            idleConnections.forEach(BackendConnection::close);
        }
        backend.close();
    }

    private CompletionStage<BackendResult> execute(String sql, List<Object> parameters) {
        BackendStatement statement =
                new BackendStatement(
                        status.promisedTerm(),
                        sql,
                        parameters,
                        true,
                        LogPosition.empty(),
                        Optional.empty());
        return acquire()
                .thenCompose(
                        connection ->
                                connection
                                        .execute(statement, TIMEOUT)
                                        .whenComplete((result, error) -> release(connection)));
    }

    private synchronized CompletableFuture<BackendConnection> acquire() {
        BackendConnection connection = idleConnections.poll();
        if (connection != null) {
            return CompletableFuture.completedFuture(connection);
        }
        CompletableFuture<BackendConnection> waiter = new CompletableFuture<>();
        waiters.add(waiter);
        return waiter;
    }

    private void release(BackendConnection connection) {
        CompletableFuture<BackendConnection> next;
        synchronized (this) {
            next = waiters.poll();
            if (next == null) {
                idleConnections.push(connection);
            }
        }
        if (next != null) {
            next.complete(connection);
        }
    }

    private static Optional<ReplicationStatus> fetchStatus(Backend backend) {
        return backend.fetchStatus(LogPosition.empty(), Duration.ZERO, TIMEOUT)
                .toCompletableFuture()
                .join();
    }
}
