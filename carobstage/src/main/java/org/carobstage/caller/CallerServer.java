package org.carobstage.caller;

import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobstage.caller.CallerMessages.DoneMessage;
import org.carobstage.caller.CallerMessages.Problem;
import org.carobstage.caller.CallerMessages.StatementMessage;
import org.carobstage.document.RequestPolicy;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.http.Json;
import org.carobstage.http.JsonServer;
import org.carobstage.model.Address;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.session.SessionPositions;
import org.carobstage.session.TokenCodec;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;

/** Serves callers over HTTP. */
public final class CallerServer implements AutoCloseable {
    /** The header that names the service. */
    public static final String SERVICE = "carobstage-service";

    /** The header that names the request class. */
    public static final String CLASS = "carobstage-class";

    /** The header that carries the session token both ways. */
    public static final String SESSION = "carobstage-session";

    /** The header that carries the idempotency key. */
    public static final String KEY = "idempotency-key";

    private final StatementService service;
    private final TokenCodec tokens;
    private final int maxBytes;
    private JsonServer server;

    private CallerServer(StatementService service, TokenCodec tokens, int maxBytes) {
        this.service = service;
        this.tokens = tokens;
        this.maxBytes = maxBytes;
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
        requireNonNull(service, "service is null");
        requireNonNull(tokens, "tokens is null");
        CallerServer caller = new CallerServer(service, tokens, maxBytes);
        caller.server = JsonServer.of(address, caller::handle);
        return caller;
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
        server.close();
    }

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        Exchange exchange = new Exchange(context, responses);
        try {
            return route(exchange, request);
        } catch (CodedException e) {
            return Single.succeeded(exchange.notRun(e.code(), e.getMessage(), Optional.empty()));
        }
    }

    private Single<HttpResponse> route(Exchange exchange, HttpRequest request) {
        boolean isStatement =
                request.path().equals("/v1/statements") && request.method().name().equals("POST");
        if (!isStatement) {
            throw CodedException.of(ErrorCode.UNKNOWN_PATH, "no such path or method");
        }
        StatementRequest statement = read(request);
        SessionPositions session = statement.session().orElse(SessionPositions.empty());
        return Single.fromStage(service.run(statement))
                .map(outcome -> exchange.answer(outcome, session, statement.group()));
    }

    private StatementRequest read(HttpRequest request) {
        if (request.payloadBody().readableBytes() > maxBytes) {
            throw CodedException.of(
                    ErrorCode.STATEMENT_TOO_LARGE, "longer than " + maxBytes + " bytes");
        }
        StatementMessage message = Json.read(request.payloadBody(), StatementMessage.class);
        if (message.group() == null || message.sql() == null) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "group and sql are needed");
        }
        ServiceName name = ServiceName.of(header(request, SERVICE));
        RequestPolicy policy = service.policy(name, RequestClass.of(header(request, CLASS)));
        return new StatementRequest(
                name,
                GroupId.of(message.group()),
                message.sql(),
                Optional.ofNullable(message.parameters()).orElse(List.of()),
                policy,
                optional(request, SESSION).flatMap(tokens::read),
                optional(request, KEY).map(IdempotencyKey::of),
                service.deadline(policy.patience()));
    }

    private static Optional<String> optional(HttpRequest request, String name) {
        return Optional.ofNullable(request.headers().get(name))
                .map(CharSequence::toString)
                .filter(text -> !text.isBlank());
    }

    private static String header(HttpRequest request, String name) {
        return optional(request, name)
                .orElseThrow(
                        () ->
                                CodedException.of(
                                        ErrorCode.MALFORMED_REQUEST, "header is missing: " + name));
    }

    /** Writes the answers of one exchange. */
    private final class Exchange {
        private final HttpServiceContext context;
        private final HttpResponseFactory responses;

        private Exchange(HttpServiceContext context, HttpResponseFactory responses) {
            this.context = context;
            this.responses = responses;
        }

        private HttpResponse answer(Outcome outcome, SessionPositions session, GroupId group) {
            if (outcome instanceof Outcome.Done done) {
                SessionPositions seen = session.seen(group, done.seen());
                HttpResponse response = body(responses.ok(), "application/json", message(done));
                response.setHeader(SESSION, tokens.write(seen));
                return response;
            }
            if (outcome instanceof Outcome.NotRun refused) {
                return notRun(refused.code(), refused.detail(), refused.retryAfter());
            }
            String detail = ((Outcome.Unknown) outcome).detail();
            return problem(ErrorCode.OUTCOME_UNKNOWN, "unknown", detail, Optional.empty());
        }

        private HttpResponse notRun(ErrorCode code, String detail, Optional<Duration> retry) {
            return problem(code, "not-run", detail, retry);
        }

        private HttpResponse problem(
                ErrorCode code, String outcome, String detail, Optional<Duration> retry) {
            Problem problem =
                    new Problem(
                            "about:blank",
                            code.name().toLowerCase(java.util.Locale.ROOT),
                            code.httpStatus(),
                            code.code(),
                            outcome,
                            detail,
                            retry.map(Duration::toMillis).orElse(null));
            HttpResponse response =
                    responses.newResponse(HttpResponseStatus.of(code.httpStatus(), ""));
            return body(response, "application/problem+json", problem);
        }

        private HttpResponse body(HttpResponse response, String type, Object value) {
            byte[] json = Json.write(value);
            return response.payloadBody(context.executionContext().bufferAllocator().wrap(json))
                    .setHeader("content-type", type);
        }

        private static DoneMessage message(Outcome.Done done) {
            return new DoneMessage(
                    done.columns(),
                    done.rows(),
                    done.changed(),
                    done.replayed(),
                    done.instance().value(),
                    done.replica(),
                    "done",
                    done.rows().size());
        }
    }
}
