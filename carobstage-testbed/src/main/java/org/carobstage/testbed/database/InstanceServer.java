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

/** Serves a {@link DatabaseInstance} over HTTP and plays faults. */
public final class InstanceServer implements AutoCloseable {
    private static final Duration FROZEN_INTERVAL = Duration.ofMillis(10);
    private static final Duration ASK_INTERVAL = Duration.ofMillis(1);

    private final DatabaseInstance instance;
    private final Executor executor;
    private final LogFetcher follower;
    private final Map<SocketAddress, DatabaseSession> sessions = new ConcurrentHashMap<>();
    private final Set<SocketAddress> peers = ConcurrentHashMap.newKeySet();
    private final Set<SocketAddress> silent = ConcurrentHashMap.newKeySet();
    private final Set<Fault> faults = ConcurrentHashMap.newKeySet();
    private JsonServer server;

    private InstanceServer(DatabaseInstance instance, Executor executor) {
        this.instance = instance;
        this.executor = executor;
        this.follower = LogFetcher.of(instance, executor, () -> faults.contains(Fault.CUT));
    }

    /**
     * Starts a server.
     *
     * @param instance the instance to serve
     * @param address where to listen; port 0 takes a free port
     * @param executor keeps time
     * @return the running server
     */
    public static InstanceServer of(DatabaseInstance instance, Address address, Executor executor) {
        InstanceServer server = new InstanceServer(instance, executor);
        server.server =
                JsonServer.of(address, HttpExecutionStrategies.defaultStrategy(), server::handle);
        return server;
    }

    /**
     * Returns where the server listens.
     *
     * @return the address
     */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        follower.close();
        server.close();
    }

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        if (request.path().equals("/fault")) {
            return setFault(Json.read(request.payloadBody(), FaultMessage.class), responses);
        }
        track(context);
        if (silent.contains(context.remoteAddress())) {
            return Single.never();
        }
        if (faults.contains(Fault.FROZEN)) {
            return executor.timer(FROZEN_INTERVAL)
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
     * Sets or ends a fault.
     *
     * @param fault the fault
     * @param on true to set it
     */
    public record FaultMessage(Fault fault, boolean on) {}

    private Single<HttpResponse> setFault(FaultMessage message, HttpResponseFactory responses) {
        if (message.fault() == Fault.SILENT) {
            silent.addAll(peers);
        } else if (message.on()) {
            faults.add(message.fault());
        } else {
            faults.remove(message.fault());
        }
        return Single.succeeded(responses.ok());
    }

    private void track(ConnectionContext context) {
        SocketAddress peer = context.remoteAddress();
        if (peers.add(peer)) {
            context.onClose().afterFinally(() -> forget(peer)).subscribe();
        }
    }

    private void forget(SocketAddress peer) {
        peers.remove(peer);
        silent.remove(peer);
        Optional.ofNullable(sessions.remove(peer)).ifPresent(InstanceServer::closeSession);
    }

    private static void closeSession(DatabaseSession session) {
        try {
            session.close();
        } catch (SQLException e) {
            throw new IllegalStateException("session did not close", e);
        }
    }

    private Single<?> route(HttpServiceContext context, HttpRequest request) {
        return switch (request.path()) {
            case "/standing" -> standing(read(request, ReplicationStatusRequest.class));
            case "/promise" -> control(instance.promise(term(request)));
            case "/promote" -> control(instance.promote(term(request)));
            case "/follow" -> control(follow(read(request, FollowRequest.class)));
            case "/log" -> log(read(request, LogMessages.Read.class));
            case "/open" -> open(context);
            default -> session(context, request);
        };
    }

    private Single<?> log(LogMessages.Read read) {
        LogMessages.Batch refused = new LogMessages.Batch(LogMessages.Status.REFUSED, List.of(), 0);
        return Single.succeeded(faults.contains(Fault.CUT) ? refused : instance.readLog(read));
    }

    private ReplicationStatus follow(FollowRequest follow) {
        ReplicationStatus standing = instance.promise(Term.of(follow.term()));
        if (standing.promisedTerm().number() == follow.term() && !standing.isPrimary()) {
            follower.setReplicationSource(Term.of(follow.term()), Address.parse(follow.address()));
        }
        return standing;
    }

    private Single<Reply> standing(ReplicationStatusRequest ask) {
        LogPosition wanted = LogPosition.of(ask.term(), ask.offset());
        ReplicationStatus standing = instance.status();
        if (standing.lastPosition().isAtLeast(wanted) || ask.waitMillis() <= 0) {
            return control(standing);
        }
        ReplicationStatusRequest later =
                new ReplicationStatusRequest(
                        ask.term(), ask.offset(), ask.waitMillis() - ASK_INTERVAL.toMillis());
        return executor.timer(ASK_INTERVAL).concat(Single.defer(() -> standing(later)));
    }

    private static Single<Reply> control(ReplicationStatus standing) {
        BackendResult done = new BackendResult.Done(List.of(), List.of(), 0, false, standing);
        return Single.succeeded(Reply.of(done));
    }

    private Single<Reply> open(ConnectionContext context) {
        return executor.timer(Duration.ofMillis(instance.settings().openDelayMillis()))
                .concat(Single.defer(() -> Single.succeeded(Reply.of(openNow(context)))));
    }

    private BackendResult openNow(ConnectionContext context) {
        try {
            Optional<DatabaseSession> session = instance.openSession();
            if (session.isEmpty()) {
                return new BackendResult.Refused(Refusal.LIMIT, "no connection is free");
            }
            sessions.put(context.remoteAddress(), session.get());
            return new BackendResult.Done(List.of(), List.of(), 0, false, instance.status());
        } catch (SQLException e) {
            return new BackendResult.Refused(Refusal.LIMIT, e.getMessage());
        }
    }

    private Single<Reply> session(HttpServiceContext context, HttpRequest request) {
        DatabaseSession session = sessions.get(context.remoteAddress());
        if (session == null) {
            BackendResult refused =
                    new BackendResult.Refused(Refusal.TRANSACTION, "connection is not open");
            return Single.succeeded(Reply.of(refused));
        }
        return switch (request.path()) {
            case "/execute" -> {
                ExecuteRequest execute = read(request, ExecuteRequest.class);
                yield inSlot(() -> session.execute(execute));
            }
            case "/begin" -> answer(session.begin(term(request)));
            case "/commit" -> {
                TermRequest commit = read(request, TermRequest.class);
                yield inSlot(() -> session.commit(commit.key()));
            }
            case "/rollback" -> answer(session.rollback());
            case "/lookup" -> {
                TermRequest lookup = read(request, TermRequest.class);
                yield answer(instance.lookupOutcome(Term.of(lookup.term()), lookup.key()));
            }
            case "/ping" -> answer(session.ping());
            default -> answer(new BackendResult.Refused(Refusal.STATEMENT, "unknown request"));
        };
    }

    private Single<Reply> inSlot(Supplier<BackendResult> work) {
        if (!instance.tryAcquireSlot()) {
            return answer(new BackendResult.Refused(Refusal.LIMIT, "no slot is free"));
        }
        Single<Reply> reply = Single.defer(() -> answer(work.get()));
        long service = instance.settings().serviceTimeMillis();
        Single<Reply> whole =
                service == 0 ? reply : executor.timer(Duration.ofMillis(service)).concat(reply);
        return whole.beforeFinally(instance::releaseSlot);
    }

    private static Single<Reply> answer(BackendResult answer) {
        return Single.succeeded(Reply.of(answer));
    }

    private static <T> T read(HttpRequest request, Class<T> type) {
        return Json.read(request.payloadBody(), type);
    }

    private static Term term(HttpRequest request) {
        return Term.of(read(request, TermRequest.class).term());
    }
}
