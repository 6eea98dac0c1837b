package org.carobstage.caller;

import static java.util.Objects.requireNonNull;

import io.servicetalk.http.api.HttpRequest;
import java.util.List;
import java.util.Optional;
import org.carobstage.caller.CallerMessages.StatementMessage;
import org.carobstage.document.RequestPolicy;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.http.Json;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.session.SessionPositions;
import org.carobstage.session.TokenCodec;
import org.carobstage.statement.StatementRequest;

/** Reads callers' requests; every fault of a request ends in a {@link CodedException}. */
final class CallerRequestReader {
    private final StatementService service;
    private final TokenCodec tokens;
    private final int maxBytes;

    private CallerRequestReader(StatementService service, TokenCodec tokens, int maxBytes) {
        this.service = service;
        this.tokens = tokens;
        this.maxBytes = maxBytes;
    }

    static CallerRequestReader of(StatementService service, TokenCodec tokens, int maxBytes) {
        requireNonNull(service, "service is null");
        requireNonNull(tokens, "tokens is null");
        return new CallerRequestReader(service, tokens, maxBytes);
    }

    StatementRequest statement(HttpRequest request) {
        StatementMessage message = message(request);
        RequestPolicy policy = policy(request);
        return new StatementRequest(
                service(request),
                group(message.group()),
                sql(message),
                parameters(message),
                policy,
                optional(request, CallerServer.SESSION_HEADER).flatMap(tokens::decode),
                idempotencyKey(request),
                service.deadlineNanos(policy.patience()));
    }

    StatementMessage message(HttpRequest request) {
        if (request.payloadBody().readableBytes() > maxBytes) {
            throw CodedException.of(
                    ErrorCode.STATEMENT_TOO_LARGE, "longer than " + maxBytes + " bytes");
        }
        return Json.read(request.payloadBody(), StatementMessage.class);
    }

    SessionPositions sessionPositions(HttpRequest request) {
        return optional(request, CallerServer.SESSION_HEADER)
                .flatMap(tokens::decode)
                .orElse(SessionPositions.empty());
    }

    ServiceName service(HttpRequest request) {
        return ServiceName.of(header(request, CallerServer.SERVICE_HEADER));
    }

    RequestPolicy policy(HttpRequest request) {
        RequestClass name = RequestClass.of(header(request, CallerServer.CLASS_HEADER));
        return service.policy(service(request), name);
    }

    Optional<IdempotencyKey> idempotencyKey(HttpRequest request) {
        return optional(request, CallerServer.IDEMPOTENCY_KEY_HEADER).map(IdempotencyKey::of);
    }

    IdempotencyKey requiredIdempotencyKey(HttpRequest request) {
        return IdempotencyKey.of(header(request, CallerServer.IDEMPOTENCY_KEY_HEADER));
    }

    static GroupId group(String text) {
        return GroupId.of(required(text, "group"));
    }

    static String sql(StatementMessage message) {
        return required(message.sql(), "sql");
    }

    static List<Object> parameters(StatementMessage message) {
        return Optional.ofNullable(message.parameters()).orElse(List.of());
    }

    private static String required(String text, String name) {
        if (text == null || text.isBlank()) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, name + " is missing");
        }
        return text;
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
}
