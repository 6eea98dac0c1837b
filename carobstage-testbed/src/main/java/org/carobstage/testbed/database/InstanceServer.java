package org.carobstage.testbed.database;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.transport.api.ConnectionContext;
import java.net.SocketAddress;
import java.sql.SQLException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.carobstage.backend.BackendMessages.ExecuteRequest;
import org.carobstage.backend.BackendMessages.FollowRequest;
import org.carobstage.backend.BackendMessages.ReplicationStatusRequest;
import org.carobstage.backend.BackendMessages.Reply;
import org.carobstage.backend.BackendMessages.TermRequest;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.Refusal;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.http.Json;
import org.carobstage.http.JsonServer;
import org.carobstage.model.Address;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/** Serves a {@link DatabaseInstance} over HTTP and injects faults. */
public final class InstanceServer implements AutoCloseable {
    private static final Duration FROZEN_POLL_INTERVAL = Duration.ofMillis(10);
    private static final Duration STATUS_POLL_INTERVAL = Duration.ofMillis(1);

    private final DatabaseInstance instance;
    private final Executor executor;
    private final LogFetcher logFetcher;
    private final Map<SocketAddress, DatabaseSession> sessions = new ConcurrentHashMap<>();
    private final Set<SocketAddress> openPeers = ConcurrentHashMap.newKeySet();
    private final Set<SocketAddress> stalledPeers = ConcurrentHashMap.newKeySet();
    private final Set<Fault> activeFaults = ConcurrentHashMap.newKeySet();
    private JsonServer server;

    private InstanceServer(DatabaseInstance instance, Executor executor) {
        this.instance = instance;
        this.executor = executor;
        this.logFetcher = LogFetcher.of(instance, executor, () -> activeFaults.contains(Fault.CUT));
    }

    /**
     * Starts a server.
     *
     * @param instance the instance to serve
     * @param address the address to listen on; port 0 selects a free port
     * @param executor runs delayed tasks
     * @return the running server
     */
    public static InstanceServer of(DatabaseInstance instance, Address address, Executor executor) {
        InstanceServer server = new InstanceServer(instance, executor);
        server.server =
                JsonServer.of(address, HttpExecutionStrategies.defaultStrategy(), server::handle);
        return server;
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address
     */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        logFetcher.close();
        server.close();
    }

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        if (request.path().equals("/fault")) {
            return setFault(Json.read(request.payloadBody(), FaultMessage.class), responses);
        }
        track(context);
        if (stalledPeers.contains(context.remoteAddress())) {
            return Single.never();
        }
        if (activeFaults.contains(Fault.FROZEN)) {
            return executor.timer(FROZEN_POLL_INTERVAL)
                    .concat(Single.defer(() -> handle(context, request, responses)));
        }
        return route(context, request)
                .map(
                        body ->
                                responses
                                        .ok()
                                        .payloadBody(
                                                context.executionContext()
                                                        .bufferAllocator()
                                                        .wrap(Json.writeBytes(body))));
    }

    /**
     * A request to set or clear a fault.
     *
     * @param fault the fault
     * @param on true to set the fault, false to clear it
     */
    public record FaultMessage(Fault fault, boolean on) {}

    private Single<HttpResponse> setFault(FaultMessage message, HttpResponseFactory responses) {
        if (message.fault() == Fault.SILENT) {
            stalledPeers.addAll(openPeers);
        } else if (message.on()) {
            activeFaults.add(message.fault());
        } else {
            activeFaults.remove(message.fault());
        }
        return Single.succeeded(responses.ok());
    }

    private void track(ConnectionContext context) {
        SocketAddress peer = context.remoteAddress();
        if (openPeers.add(peer)) {
            context.onClose().afterFinally(() -> removePeer(peer)).subscribe();
        }
    }

    private void removePeer(SocketAddress peer) {
        openPeers.remove(peer);
        stalledPeers.remove(peer);
        Optional.ofNullable(sessions.remove(peer)).ifPresent(InstanceServer::closeSession);
    }

    private static void closeSession(DatabaseSession session) {
        try {
            session.close();
        } catch (SQLException e) {
            throw new IllegalStateException("session could not be closed", e);
        }
    }

    private Single<?> route(HttpServiceContext context, HttpRequest request) {
        return switch (request.path()) {
            case "/standing" -> status(read(request, ReplicationStatusRequest.class));
            case "/promise" -> toReply(instance.promise(readTerm(request)));
            case "/promote" -> toReply(instance.promote(readTerm(request)));
            case "/follow" -> toReply(follow(read(request, FollowRequest.class)));
            case "/log" -> readLog(read(request, LogMessages.Read.class));
            case "/open" -> openConnection(context);
            default -> handleSessionRequest(context, request);
        };
    }

    private Single<?> readLog(LogMessages.Read read) {
        LogMessages.Batch refused = new LogMessages.Batch(LogMessages.Status.REFUSED, List.of(), 0);
        return Single.succeeded(
                activeFaults.contains(Fault.CUT) ? refused : instance.readLog(read));
    }

    private ReplicationStatus follow(FollowRequest follow) {
        ReplicationStatus status = instance.promise(Term.of(follow.term()));
        if (status.promisedTerm().number() == follow.term() && !status.isPrimary()) {
            logFetcher.setReplicationSource(
                    Term.of(follow.term()), Address.parse(follow.address()));
        }
        return status;
    }

    private Single<Reply> status(ReplicationStatusRequest request) {
        LogPosition minLogPosition = LogPosition.of(request.term(), request.offset());
        ReplicationStatus status = instance.status();
        if (status.lastPosition().isAtLeast(minLogPosition) || request.waitMillis() <= 0) {
            return toReply(status);
        }
        ReplicationStatusRequest remaining =
                new ReplicationStatusRequest(
                        request.term(),
                        request.offset(),
                        request.waitMillis() - STATUS_POLL_INTERVAL.toMillis());
        return executor.timer(STATUS_POLL_INTERVAL).concat(Single.defer(() -> status(remaining)));
    }

    private static Single<Reply> toReply(ReplicationStatus status) {
        BackendResult result = new BackendResult.Done(List.of(), List.of(), 0, false, status);
        return Single.succeeded(Reply.of(result));
    }

    private Single<Reply> openConnection(ConnectionContext context) {
        return executor.timer(Duration.ofMillis(instance.settings().openDelayMillis()))
                .concat(Single.defer(() -> Single.succeeded(Reply.of(openSession(context)))));
    }

    private BackendResult openSession(ConnectionContext context) {
        try {
            Optional<DatabaseSession> session = instance.openSession();
            if (session.isEmpty()) {
                return new BackendResult.Refused(Refusal.LIMIT, "connection limit reached");
            }
            sessions.put(context.remoteAddress(), session.get());
            return new BackendResult.Done(List.of(), List.of(), 0, false, instance.status());
        } catch (SQLException e) {
            return new BackendResult.Refused(Refusal.LIMIT, e.getMessage());
        }
    }

    private Single<Reply> handleSessionRequest(HttpServiceContext context, HttpRequest request) {
        DatabaseSession session = sessions.get(context.remoteAddress());
        if (session == null) {
            BackendResult refused =
                    new BackendResult.Refused(Refusal.TRANSACTION, "connection is not open");
            return Single.succeeded(Reply.of(refused));
        }
        return switch (request.path()) {
            case "/execute" -> {
                ExecuteRequest execute = read(request, ExecuteRequest.class);
                yield executeInSlot(() -> session.execute(execute));
            }
            case "/begin" -> toReply(session.begin(readTerm(request)));
            case "/commit" -> {
                TermRequest commit = read(request, TermRequest.class);
                yield executeInSlot(() -> session.commit(commit.key()));
            }
            case "/rollback" -> toReply(session.rollback());
            case "/lookup" -> {
                TermRequest lookup = read(request, TermRequest.class);
                yield toReply(instance.lookUpOutcome(Term.of(lookup.term()), lookup.key()));
            }
            case "/ping" -> toReply(session.ping());
            default -> toReply(new BackendResult.Refused(Refusal.STATEMENT, "unknown request"));
        };
    }

    private Single<Reply> executeInSlot(Supplier<BackendResult> statement) {
        if (!instance.tryAcquireSlot()) {
            return toReply(new BackendResult.Refused(Refusal.LIMIT, "no slot is free"));
        }
        Single<Reply> reply = Single.defer(() -> toReply(statement.get()));
        long serviceTimeMillis = instance.settings().serviceTimeMillis();
        Single<Reply> delayedReply =
                serviceTimeMillis == 0
                        ? reply
                        : executor.timer(Duration.ofMillis(serviceTimeMillis)).concat(reply);
        return delayedReply.beforeFinally(instance::releaseSlot);
    }

    private static Single<Reply> toReply(BackendResult result) {
        return Single.succeeded(Reply.of(result));
    }

    private static <T> T read(HttpRequest request, Class<T> type) {
        return Json.read(request.payloadBody(), type);
    }

    private static Term readTerm(HttpRequest request) {
        return Term.of(read(request, TermRequest.class).term());
    }
}
