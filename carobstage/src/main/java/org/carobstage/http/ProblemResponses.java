package org.carobstage.http;

import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import java.util.Optional;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;

/** Writes problems as answers. */
public final class ProblemResponses {
    /** The content type of a problem. */
    public static final String CONTENT_TYPE = "application/problem+json";

    private ProblemResponses() {}

    /**
     * Answers a request that failed; only a coded exception's own words are shown.
     *
     * @param context the request's context
     * @param responses creates the answer
     * @param code the code, where the failure has none
     * @param failure why the request failed
     * @return the answer
     */
    public static HttpResponse response(
            HttpServiceContext context,
            HttpResponseFactory responses,
            ErrorCode code,
            Throwable failure) {
        Problem problem = toProblem(code, failure);
        byte[] json = Json.writeBytes(problem);
        return responses
                .newResponse(HttpResponseStatus.of(problem.status(), problem.title()))
                .payloadBody(context.executionContext().bufferAllocator().wrap(json))
                .setHeader("content-type", CONTENT_TYPE);
    }

    /**
     * Describes a failure before anything ran.
     *
     * @param code the code, where the failure has none
     * @param failure why the request failed
     * @return the problem
     */
    public static Problem toProblem(ErrorCode code, Throwable failure) {
        return failure instanceof CodedException coded
                ? Problem.of(coded.code(), Problem.NOT_RUN, coded.getMessage(), Optional.empty())
                : Problem.of(code, Problem.NOT_RUN, "", Optional.empty());
    }
}
