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

/** Parses callers' requests; an invalid request raises a {@link CodedException}. */
final class CallerRequestReader {
    private final StatementService service;
    private final TokenCodec tokenCodec;
    private final int maxBodyBytes;

    private CallerRequestReader(StatementService service, TokenCodec tokenCodec, int maxBodyBytes) {
        this.service = service;
        this.tokenCodec = tokenCodec;
        this.maxBodyBytes = maxBodyBytes;
    }

    static CallerRequestReader of(
            StatementService service, TokenCodec tokenCodec, int maxBodyBytes) {
        requireNonNull(service, "service is null");
        requireNonNull(tokenCodec, "tokenCodec is null");
        return new CallerRequestReader(service, tokenCodec, maxBodyBytes);
    }

    StatementRequest statementRequest(HttpRequest request) {
        StatementMessage message = statementMessage(request);
        RequestPolicy policy = policy(request);
        return new StatementRequest(
                service(request),
                group(message.group()),
                sql(message),
                parameters(message),
                policy,
                optionalHeader(request, CallerServer.SESSION_HEADER).flatMap(tokenCodec::decode),
                idempotencyKey(request),
                service.deadlineNanos(policy.patience()));
    }

    StatementMessage statementMessage(HttpRequest request) {
        if (request.payloadBody().readableBytes() > maxBodyBytes) {
            throw CodedException.of(
                    ErrorCode.STATEMENT_TOO_LARGE,
                    "the request body is longer than " + maxBodyBytes + " bytes");
        }
        return Json.read(request.payloadBody(), StatementMessage.class);
    }

    SessionPositions sessionPositions(HttpRequest request) {
        return optionalHeader(request, CallerServer.SESSION_HEADER)
                .flatMap(tokenCodec::decode)
                .orElse(SessionPositions.empty());
    }

    ServiceName service(HttpRequest request) {
        return ServiceName.of(requiredHeader(request, CallerServer.SERVICE_HEADER));
    }

    RequestPolicy policy(HttpRequest request) {
        RequestClass requestClass =
                RequestClass.of(requiredHeader(request, CallerServer.CLASS_HEADER));
        return service.policy(service(request), requestClass);
    }

    Optional<IdempotencyKey> idempotencyKey(HttpRequest request) {
        return optionalHeader(request, CallerServer.IDEMPOTENCY_KEY_HEADER).map(IdempotencyKey::of);
    }

    IdempotencyKey requiredIdempotencyKey(HttpRequest request) {
        return IdempotencyKey.of(requiredHeader(request, CallerServer.IDEMPOTENCY_KEY_HEADER));
    }

    static GroupId group(String id) {
        return GroupId.of(requireField(id, "group"));
    }

    static String sql(StatementMessage message) {
        return requireField(message.sql(), "sql");
    }

    static List<Object> parameters(StatementMessage message) {
        return Optional.ofNullable(message.parameters()).orElse(List.of());
    }

    private static String requireField(String value, String name) {
        if (value == null || value.isBlank()) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, name + " is missing");
        }
        return value;
    }

    private static Optional<String> optionalHeader(HttpRequest request, String name) {
        return Optional.ofNullable(request.headers().get(name))
                .map(CharSequence::toString)
                .filter(value -> !value.isBlank());
    }

    private static String requiredHeader(HttpRequest request, String name) {
        return optionalHeader(request, name)
                .orElseThrow(
                        () ->
                                CodedException.of(
                                        ErrorCode.MALFORMED_REQUEST, "header is missing: " + name));
    }
}
