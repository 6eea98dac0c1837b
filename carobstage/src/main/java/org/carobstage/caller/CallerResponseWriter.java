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

/** Writes the answers of one exchange with a caller. */
final class CallerResponseWriter {
    private static final String JSON = "application/json";
    private static final String PROBLEM = "application/problem+json";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final TokenCodec tokens;
    private final BufferAllocator buffers;
    private final HttpResponseFactory responses;

    private CallerResponseWriter(
            TokenCodec tokens, BufferAllocator buffers, HttpResponseFactory responses) {
        this.tokens = tokens;
        this.buffers = buffers;
        this.responses = responses;
    }

    static CallerResponseWriter of(
            TokenCodec tokens, BufferAllocator buffers, HttpResponseFactory responses) {
        requireNonNull(tokens, "tokens is null");
        return new CallerResponseWriter(tokens, buffers, responses);
    }

    HttpResponse toResponse(Outcome outcome, SessionPositions session, GroupId group) {
        if (outcome instanceof Outcome.Done done) {
            SessionPositions seen = session.withPosition(group, done.logPosition());
            return body(responses.ok(), JSON, message(done))
                    .setHeader(CallerServer.SESSION_HEADER, tokens.encode(seen));
        }
        return toResponse(outcome);
    }

    HttpResponse toResponse(Outcome outcome) {
        if (outcome instanceof Outcome.Done done) {
            return body(responses.ok(), JSON, message(done));
        }
        if (outcome instanceof Outcome.NotRun refused) {
            return notRunResponse(refused);
        }
        String detail = ((Outcome.Unknown) outcome).detail();
        return problem(ErrorCode.OUTCOME_UNKNOWN, "unknown", detail, Optional.empty());
    }

    HttpResponse toResponse(BeginResult result) {
        if (result instanceof BeginResult.Begun begun) {
            TransactionMessage message = new TransactionMessage(begun.id().toString(), "done");
            return body(responses.ok(), JSON, message);
        }
        return notRunResponse(((BeginResult.Refused) result).outcome());
    }

    HttpResponse notRunResponse(ErrorCode code, String detail) {
        return problem(code, "not-run", detail, Optional.empty());
    }

    private HttpResponse notRunResponse(Outcome.NotRun refused) {
        return problem(refused.code(), "not-run", refused.detail(), refused.retryAfter());
    }

    private HttpResponse problem(
            ErrorCode code, String outcome, String detail, Optional<Duration> retry) {
        Problem problem = Problem.of(code, outcome, detail, retry);
        HttpResponse response = responses.newResponse(HttpResponseStatus.of(code.httpStatus(), ""));
        retry.ifPresent(after -> response.setHeader("retry-after", seconds(after)));
        return body(response, PROBLEM, problem);
    }

    private HttpResponse body(HttpResponse response, String type, Object value) {
        return response.payloadBody(buffers.wrap(Json.writeBytes(value)))
                .setHeader("content-type", type);
    }

    private static String seconds(Duration duration) {
        long rounded = (duration.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return Long.toString(rounded);
    }

    private static StatementResultMessage message(Outcome.Done done) {
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
