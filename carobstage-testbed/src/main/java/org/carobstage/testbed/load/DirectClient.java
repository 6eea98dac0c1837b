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

/** Talks to one instance without an entry VM, for comparison and for the state at the end. */
public final class DirectClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final Backend backend;
    private final ReplicationStatus standing;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private final Deque<CompletableFuture<BackendConnection>> waiting = new ArrayDeque<>();

    private DirectClient(Backend backend, ReplicationStatus standing) {
        this.backend = backend;
        this.standing = standing;
    }

    /**
     * Opens connections to an instance.
     *
     * @param address where it listens
     * @param connections how many connections to open
     * @return the client
     */
    public static DirectClient of(Address address, int connections) {
        InstanceId any = InstanceId.of("any");
        Backend backend = HttpBackend.of(new InstanceSpec(any, address, FailureDomain.of("any")));
        ReplicationStatus standing = standing(backend).orElseThrow();
        DirectClient client = new DirectClient(backend, standing);
        List<CompletableFuture<BackendConnection>> opening = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            opening.add(backend.openConnection(TIMEOUT).toCompletableFuture());
        }
        opening.forEach(connection -> client.idle.push(connection.join()));
        return client;
    }

    /**
     * Tells whether the instance was primary when this client was opened.
     *
     * @return true for a primary
     */
    public boolean isPrimary() {
        return standing.isPrimary();
    }

    /**
     * Returns the term of the instance when this client was opened.
     *
     * @return the term
     */
    public Term term() {
        return standing.promisedTerm();
    }

    /**
     * Lists the entries of an owner.
     *
     * @param owner the owner
     * @return the answer
     */
    public CompletionStage<BackendResult> listEntries(String owner) {
        return execute(Entry.SELECT_BY_OWNER, List.of(owner));
    }

    /**
     * Reads the whole table.
     *
     * @return every entry
     */
    public List<Entry> listAllEntries() {
        BackendResult answer = execute(Entry.SELECT_ALL, List.of()).toCompletableFuture().join();
        return ((BackendResult.Done) answer).rows().stream().map(Entry::of).toList();
    }

    @Override
    public void close() {
        synchronized (this) {
            idle.forEach(BackendConnection::close);
        }
        backend.close();
    }

    private CompletionStage<BackendResult> execute(String sql, List<Object> parameters) {
        BackendStatement statement =
                new BackendStatement(
                        standing.promisedTerm(),
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
                                        .whenComplete((answer, error) -> release(connection)));
    }

    private synchronized CompletableFuture<BackendConnection> acquire() {
        BackendConnection connection = idle.poll();
        if (connection != null) {
            return CompletableFuture.completedFuture(connection);
        }
        CompletableFuture<BackendConnection> later = new CompletableFuture<>();
        waiting.add(later);
        return later;
    }

    private void release(BackendConnection connection) {
        CompletableFuture<BackendConnection> next;
        synchronized (this) {
            next = waiting.poll();
            if (next == null) {
                idle.push(connection);
            }
        }
        if (next != null) {
            next.complete(connection);
        }
    }

    private static Optional<ReplicationStatus> standing(Backend backend) {
        return backend.fetchStatus(LogPosition.empty(), Duration.ZERO, TIMEOUT)
                .toCompletableFuture()
                .join();
    }
}
