package org.carobstage.caller;

import static java.util.Objects.requireNonNull;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import java.time.Duration;
import java.util.Optional;
import org.carobstage.caller.CallerMessages.StatementResultMessage;
import org.carobstage.caller.CallerMessages.TransactionMessage;
import org.carobstage.error.ErrorCode;
import org.carobstage.http.Json;
import org.carobstage.http.Problem;
import org.carobstage.model.GroupId;
import org.carobstage.session.SessionPositions;
import org.carobstage.session.TokenCodec;
import org.carobstage.statement.Outcome;
import org.carobstage.transaction.BeginResult;

/** Writes the response to one request of a caller. */
final class CallerResponseWriter {
    private static final String JSON_CONTENT_TYPE = "application/json";
    private static final String PROBLEM_CONTENT_TYPE = "application/problem+json";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final TokenCodec tokenCodec;
    private final BufferAllocator bufferAllocator;
    private final HttpResponseFactory responseFactory;

    private CallerResponseWriter(
            TokenCodec tokenCodec,
            BufferAllocator bufferAllocator,
            HttpResponseFactory responseFactory) {
        this.tokenCodec = tokenCodec;
        this.bufferAllocator = bufferAllocator;
        this.responseFactory = responseFactory;
    }

    static CallerResponseWriter of(
            TokenCodec tokenCodec,
            BufferAllocator bufferAllocator,
            HttpResponseFactory responseFactory) {
        requireNonNull(tokenCodec, "tokenCodec is null");
        return new CallerResponseWriter(tokenCodec, bufferAllocator, responseFactory);
    }

    HttpResponse toResponse(Outcome outcome, SessionPositions session, GroupId group) {
        if (outcome instanceof Outcome.Done done) {
            SessionPositions updated = session.withPosition(group, done.logPosition());
            return withJsonBody(responseFactory.ok(), JSON_CONTENT_TYPE, toMessage(done))
                    .setHeader(CallerServer.SESSION_HEADER, tokenCodec.encode(updated));
        }
        return toResponse(outcome);
    }

    HttpResponse toResponse(Outcome outcome) {
        if (outcome instanceof Outcome.Done done) {
            return withJsonBody(responseFactory.ok(), JSON_CONTENT_TYPE, toMessage(done));
        }
        if (outcome instanceof Outcome.NotRun notRun) {
            return notRunResponse(notRun);
        }
        String detail = ((Outcome.Unknown) outcome).detail();
        return problemResponse(ErrorCode.OUTCOME_UNKNOWN, "unknown", detail, Optional.empty());
    }

    HttpResponse toResponse(BeginResult result) {
        if (result instanceof BeginResult.Begun begun) {
            TransactionMessage message = new TransactionMessage(begun.id().toString(), "done");
            return withJsonBody(responseFactory.ok(), JSON_CONTENT_TYPE, message);
        }
        return notRunResponse(((BeginResult.Refused) result).outcome());
    }

    HttpResponse notRunResponse(ErrorCode code, String detail) {
        return problemResponse(code, "not-run", detail, Optional.empty());
    }

    private HttpResponse notRunResponse(Outcome.NotRun notRun) {
        return problemResponse(notRun.code(), "not-run", notRun.detail(), notRun.retryAfter());
    }

    private HttpResponse problemResponse(
            ErrorCode code, String outcome, String detail, Optional<Duration> retryAfter) {
        Problem problem = Problem.of(code, outcome, detail, retryAfter);
        HttpResponse response =
                responseFactory.newResponse(HttpResponseStatus.of(code.httpStatus(), ""));
        retryAfter.ifPresent(delay -> response.setHeader("retry-after", roundUpToSeconds(delay)));
        return withJsonBody(response, PROBLEM_CONTENT_TYPE, problem);
    }

    private HttpResponse withJsonBody(HttpResponse response, String contentType, Object value) {
        return response.payloadBody(bufferAllocator.wrap(Json.writeBytes(value)))
                .setHeader("content-type", contentType);
    }

    private static String roundUpToSeconds(Duration duration) {
        long seconds = (duration.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return Long.toString(seconds);
    }

    private static StatementResultMessage toMessage(Outcome.Done done) {
        return new StatementResultMessage(
                done.columns(),
                done.rows(),
                done.affectedRowCount(),
                done.isReplayed(),
                done.instance().value(),
                done.isReplica(),
                "done",
                done.rows().size());
    }
}
