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

    /** The header that carries the session token in requests and responses. */
    public static final String SESSION_HEADER = "carobstage-session";

    /** The header that carries the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";

    private static final Logger LOGGER = System.getLogger(CallerServer.class.getName());
    private static final String STATEMENTS_PATH = "/v1/statements";
    private static final String OUTCOMES_PATH = "/v1/outcomes";
    private static final String TRANSACTIONS_PATH = "/v1/transactions";

    private final StatementService service;
    private final TokenCodec tokenCodec;
    private final CallerRequestReader reader;
    private final List<JsonServer> servers = new ArrayList<>();

    private CallerServer(StatementService service, TokenCodec tokenCodec, int maxBodyBytes) {
        this.service = service;
        this.tokenCodec = tokenCodec;
        this.reader = CallerRequestReader.of(service, tokenCodec, maxBodyBytes);
    }

    /**
     * Starts the server.
     *
     * @param address the listen address; port 0 selects a free port
     * @param service runs the statements and transactions
     * @param tokenCodec encodes and decodes session tokens
     * @param maxBodyBytes the longest request body, in bytes
     * @return the running server
     */
    public static CallerServer of(
            Address address, StatementService service, TokenCodec tokenCodec, int maxBodyBytes) {
        ServerLimits limits = ServerLimits.defaults().withMaxBodyBytes(maxBodyBytes);
        CallerSettings settings =
                new CallerSettings(address, Optional.empty(), limits, Optional.empty());
        return of(settings, service, tokenCodec);
    }

    /**
     * Starts the server.
     *
     * @param settings the listen addresses, the certificate and the limits on requests
     * @param service runs the statements and transactions
     * @param tokenCodec encodes and decodes session tokens
     * @return the running server
     */
    public static CallerServer of(
            CallerSettings settings, StatementService service, TokenCodec tokenCodec) {
        requireNonNull(settings, "settings is null");
        requireNonNull(service, "service is null");
        requireNonNull(tokenCodec, "tokenCodec is null");
        CallerServer server =
                new CallerServer(service, tokenCodec, settings.limits().maxBodyBytes());
        ServerOptions options = ServerOptions.defaults().withLimits(settings.limits());
        ServerOptions tlsOptions = options.withTls(settings.tls());
        server.servers.add(JsonServer.of(settings.listenAddress(), tlsOptions, server::handle));
        settings.http2ListenAddress()
                .map(
                        address ->
                                JsonServer.of(
                                        address, options.withHttp2PriorKnowledge(), server::handle))
                .ifPresent(server.servers::add);
        return server;
    }

    /**
     * Returns the listen address.
     *
     * @return the address
     */
    public Address address() {
        return servers.get(0).address();
    }

    /**
     * Returns the listen address for HTTP/2 with prior knowledge.
     *
     * @return the address, or empty if none is configured
     */
    public Optional<Address> http2Address() {
        return servers.stream().skip(1).findFirst().map(JsonServer::address);
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number of requests whose responses are not yet fully written
     */
    public int activeRequestCount() {
        return servers.stream().mapToInt(JsonServer::activeRequestCount).sum();
    }

    /**
     * Adds {@code connection: close} to each following response, so that callers reconnect to
     * another VM.
     */
    public void startDraining() {
        servers.forEach(JsonServer::startDraining);
    }

    /** Rejects statements and new transactions; open transactions continue. */
    public void rejectNewRequests() {
        servers.forEach(JsonServer::rejectNewRequests);
    }

    /** Closes the server once the requests in progress are complete; returns at once. */
    @Override
    public void close() {
        servers.forEach(JsonServer::close);
    }

    /**
     * Closes the server once the requests in progress are complete, and waits until it is closed.
     *
     * @param timeout the longest wait; connections still open after it are closed
     */
    public void close(Duration timeout) {
        servers.forEach(server -> server.close(timeout));
    }

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responseFactory) {
        CallerResponseWriter writer =
                CallerResponseWriter.of(
                        tokenCodec, context.executionContext().bufferAllocator(), responseFactory);
        try {
            return route(request, writer);
        } catch (CodedException e) {
            return Single.succeeded(writer.notRunResponse(e.code(), e.getMessage()));
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "request failed", e);
            return Single.succeeded(writer.notRunResponse(ErrorCode.INTERNAL, "internal error"));
        }
    }

    private Single<HttpResponse> route(HttpRequest request, CallerResponseWriter writer) {
        String path = request.path();
        boolean isPost = request.method().equals(HttpRequestMethod.POST);
        if (JsonServer.isReceivedTooLate(request)
                && (path.equals(STATEMENTS_PATH) || path.equals(TRANSACTIONS_PATH))) {
            throw CodedException.of(ErrorCode.STOPPING, "this process is stopping");
        }
        if (path.equals(STATEMENTS_PATH) && isPost) {
            return handleStatement(request, writer);
        }
        if (path.equals(OUTCOMES_PATH) && request.method().equals(HttpRequestMethod.GET)) {
            return handleOutcome(request, writer);
        }
        if (path.equals(TRANSACTIONS_PATH) && isPost) {
            return handleBegin(request, writer);
        }
        if (path.startsWith(TRANSACTIONS_PATH + "/") && isPost) {
            return handleInTransaction(request, writer);
        }
        throw unknownPath();
    }

    private Single<HttpResponse> handleStatement(HttpRequest request, CallerResponseWriter writer) {
        StatementRequest statement = reader.statementRequest(request);
        SessionPositions session = statement.sessionPositions().orElse(SessionPositions.empty());
        return Single.fromStage(service.run(statement))
                .map(outcome -> writer.toResponse(outcome, session, statement.group()));
    }

    private Single<HttpResponse> handleOutcome(HttpRequest request, CallerResponseWriter writer) {
        GroupId group = CallerRequestReader.group(request.queryParameter("group"));
        SessionPositions session = reader.sessionPositions(request);
        ServiceName serviceName = reader.service(request);
        return Single.fromStage(
                        service.lookUpOutcome(
                                serviceName, group, reader.requiredIdempotencyKey(request)))
                .map(outcome -> writer.toResponse(outcome, session, group));
    }

    private Single<HttpResponse> handleBegin(HttpRequest request, CallerResponseWriter writer) {
        GroupId group = CallerRequestReader.group(reader.statementMessage(request).group());
        return Single.fromStage(
                        service.beginTransaction(
                                reader.service(request), group, reader.policy(request)))
                .map(writer::toResponse);
    }

    private Single<HttpResponse> handleInTransaction(
            HttpRequest request, CallerResponseWriter writer) {
        String subPath = request.path().substring(TRANSACTIONS_PATH.length() + 1);
        int slash = subPath.indexOf('/');
        if (slash < 0) {
            throw unknownPath();
        }
        TransactionId id = parseTransactionId(subPath.substring(0, slash));
        ServiceName serviceName = reader.service(request);
        return switch (subPath.substring(slash + 1)) {
            case "statements" -> {
                StatementMessage message = reader.statementMessage(request);
                String sql = CallerRequestReader.sql(message);
                yield Single.fromStage(
                                service.withTransactions(
                                        registry ->
                                                registry.execute(
                                                        id,
                                                        serviceName,
                                                        sql,
                                                        CallerRequestReader.parameters(message))))
                        .map(writer::toResponse);
            }
            case "commit" -> handleCommit(request, writer, id);
            case "rollback" ->
                    Single.fromStage(
                                    service.withTransactions(
                                            registry -> registry.rollback(id, serviceName)))
                            .map(writer::toResponse);
            default -> throw unknownPath();
        };
    }

    private Single<HttpResponse> handleCommit(
            HttpRequest request, CallerResponseWriter writer, TransactionId id) {
        GroupId group = CallerRequestReader.group(reader.statementMessage(request).group());
        SessionPositions session = reader.sessionPositions(request);
        ServiceName serviceName = reader.service(request);
        Optional<IdempotencyKey> key = reader.idempotencyKey(request);
        return Single.fromStage(
                        service.withTransactions(registry -> registry.commit(id, serviceName, key)))
                .map(outcome -> writer.toResponse(outcome, session, group));
    }

    private static TransactionId parseTransactionId(String text) {
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
