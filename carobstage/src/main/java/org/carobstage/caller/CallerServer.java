package org.carobstage.caller;

import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServiceContext;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobstage.caller.CallerMessages.StatementMessage;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.http.JsonServer;
import org.carobstage.http.ServerLimits;
import org.carobstage.http.ServerOptions;
import org.carobstage.model.Address;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.ServiceName;
import org.carobstage.session.SessionPositions;
import org.carobstage.session.TokenCodec;
import org.carobstage.settings.CallerSettings;
import org.carobstage.statement.StatementRequest;
import org.carobstage.transaction.TransactionId;

/** Serves callers over HTTP. */
public final class CallerServer implements AutoCloseable {
    /** The header that names the service. */
    public static final String SERVICE_HEADER = "carobstage-service";

    /** The header that names the request class. */
    public static final String CLASS_HEADER = "carobstage-class";

    /** The header that carries the session token both ways. */
    public static final String SESSION_HEADER = "carobstage-session";

    /** The header that carries the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";

    private static final Logger LOGGER = System.getLogger(CallerServer.class.getName());
    private static final String STATEMENTS = "/v1/statements";
    private static final String OUTCOMES = "/v1/outcomes";
    private static final String TRANSACTIONS = "/v1/transactions";

    private final StatementService service;
    private final TokenCodec tokens;
    private final CallerRequestReader reader;
    private final List<JsonServer> servers = new ArrayList<>();
    private volatile boolean refusesNewWork;

    private CallerServer(StatementService service, TokenCodec tokens, int maxBytes) {
        this.service = service;
        this.tokens = tokens;
        this.reader = CallerRequestReader.of(service, tokens, maxBytes);
    }

    /**
     * Starts the server.
     *
     * @param address where to listen; port 0 takes a free port
     * @param service runs the statements
     * @param tokens reads and writes session tokens
     * @param maxBytes the longest request body accepted, in bytes
     * @return the running server
     */
    public static CallerServer of(
            Address address, StatementService service, TokenCodec tokens, int maxBytes) {
        ServerLimits limits = ServerLimits.defaults().withMaxBodyBytes(maxBytes);
        CallerSettings settings =
                new CallerSettings(address, Optional.empty(), limits, Optional.empty());
        return of(settings, service, tokens);
    }

    /**
     * Starts the server.
     *
     * @param settings where to listen and what to accept
     * @param service runs the statements
     * @param tokens reads and writes session tokens
     * @return the running server
     */
    public static CallerServer of(
            CallerSettings settings, StatementService service, TokenCodec tokens) {
        requireNonNull(settings, "settings is null");
        requireNonNull(service, "service is null");
        requireNonNull(tokens, "tokens is null");
        CallerServer caller = new CallerServer(service, tokens, settings.limits().maxBodyBytes());
        ServerOptions options = ServerOptions.defaults().withLimits(settings.limits());
        ServerOptions first = options.withTls(settings.tls());
        caller.servers.add(JsonServer.of(settings.listenAddress(), first, caller::handle));
        settings.http2ListenAddress()
                .map(
                        address ->
                                JsonServer.of(
                                        address, options.withHttp2PriorKnowledge(), caller::handle))
                .ifPresent(caller.servers::add);
        return caller;
    }

    /**
     * Returns where the server listens.
     *
     * @return the address
     */
    public Address address() {
        return servers.get(0).address();
    }

    /**
     * Returns where the server listens for HTTP/2 by prior knowledge.
     *
     * @return the address, or empty if the settings name none
     */
    public Optional<Address> http2Address() {
        return servers.stream().skip(1).findFirst().map(JsonServer::address);
    }

    /**
     * Returns how many requests are in progress.
     *
     * @return the number of requests whose answers have not been written yet
     */
    public int activeRequestCount() {
        return servers.stream().mapToInt(JsonServer::activeRequestCount).sum();
    }

    /** Asks each caller with its next answer to go elsewhere. */
    public void startDraining() {
        servers.forEach(JsonServer::startDraining);
    }

    /** Refuses statements and new transactions; open transactions go on. */
    public void refuseNewWork() {
        refusesNewWork = true;
    }

    /** Closes the server once the requests in progress have been answered. */
    @Override
    public void close() {
        servers.forEach(JsonServer::close);
    }

    /**
     * Closes the server once the requests in progress have been answered, and waits for that.
     *
     * @param limit how long to wait; after that the connections are cut
     */
    public void close(Duration limit) {
        servers.forEach(server -> server.close(limit));
    }

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        CallerResponseWriter writer =
                CallerResponseWriter.of(
                        tokens, context.executionContext().bufferAllocator(), responses);
        try {
            return route(request, writer);
        } catch (CodedException e) {
            return Single.succeeded(writer.notRunResponse(e.code(), e.getMessage()));
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "request failed", e);
            return Single.succeeded(writer.notRunResponse(ErrorCode.INTERNAL, "internal fault"));
        }
    }

    private Single<HttpResponse> route(HttpRequest request, CallerResponseWriter writer) {
        String path = request.path();
        boolean isPost = request.method().equals(HttpRequestMethod.POST);
        if (refusesNewWork && (path.equals(STATEMENTS) || path.equals(TRANSACTIONS))) {
            throw CodedException.of(ErrorCode.STOPPING, "this process is stopping");
        }
        if (path.equals(STATEMENTS) && isPost) {
            return statement(request, writer);
        }
        if (path.equals(OUTCOMES) && request.method().equals(HttpRequestMethod.GET)) {
            return outcome(request, writer);
        }
        if (path.equals(TRANSACTIONS) && isPost) {
            return begin(request, writer);
        }
        if (path.startsWith(TRANSACTIONS + "/") && isPost) {
            return inTransaction(request, writer);
        }
        throw unknownPath();
    }

    private Single<HttpResponse> statement(HttpRequest request, CallerResponseWriter writer) {
        StatementRequest statement = reader.statement(request);
        SessionPositions session = statement.sessionPositions().orElse(SessionPositions.empty());
        return Single.fromStage(service.run(statement))
                .map(outcome -> writer.toResponse(outcome, session, statement.group()));
    }

    private Single<HttpResponse> outcome(HttpRequest request, CallerResponseWriter writer) {
        GroupId group = CallerRequestReader.group(request.queryParameter("group"));
        SessionPositions session = reader.sessionPositions(request);
        ServiceName name = reader.service(request);
        return Single.fromStage(
                        service.lookUpOutcome(name, group, reader.requiredIdempotencyKey(request)))
                .map(outcome -> writer.toResponse(outcome, session, group));
    }

    private Single<HttpResponse> begin(HttpRequest request, CallerResponseWriter writer) {
        GroupId group = CallerRequestReader.group(reader.message(request).group());
        return Single.fromStage(
                        service.beginTransaction(
                                reader.service(request), group, reader.policy(request)))
                .map(writer::toResponse);
    }

    private Single<HttpResponse> inTransaction(HttpRequest request, CallerResponseWriter writer) {
        String rest = request.path().substring(TRANSACTIONS.length() + 1);
        int slash = rest.indexOf('/');
        if (slash < 0) {
            throw unknownPath();
        }
        TransactionId id = transaction(rest.substring(0, slash));
        ServiceName name = reader.service(request);
        return switch (rest.substring(slash + 1)) {
            case "statements" -> {
                StatementMessage message = reader.message(request);
                String sql = CallerRequestReader.sql(message);
                yield Single.fromStage(
                                service.withTransactions(
                                        t ->
                                                t.execute(
                                                        id,
                                                        name,
                                                        sql,
                                                        CallerRequestReader.parameters(message))))
                        .map(writer::toResponse);
            }
            case "commit" -> commit(request, writer, id);
            case "rollback" ->
                    Single.fromStage(service.withTransactions(t -> t.rollback(id, name)))
                            .map(writer::toResponse);
            default -> throw unknownPath();
        };
    }

    private Single<HttpResponse> commit(
            HttpRequest request, CallerResponseWriter writer, TransactionId id) {
        GroupId group = CallerRequestReader.group(reader.message(request).group());
        SessionPositions session = reader.sessionPositions(request);
        ServiceName name = reader.service(request);
        Optional<IdempotencyKey> key = reader.idempotencyKey(request);
        return Single.fromStage(service.withTransactions(t -> t.commit(id, name, key)))
                .map(outcome -> writer.toResponse(outcome, session, group));
    }

    private static TransactionId transaction(String text) {
        try {
            return TransactionId.parse(text);
        } catch (IllegalArgumentException e) {
            throw CodedException.of(ErrorCode.UNKNOWN_TRANSACTION, "no such transaction", e);
        }
    }

    private static CodedException unknownPath() {
        return CodedException.of(ErrorCode.UNKNOWN_PATH, "no such path or method");
    }
}
