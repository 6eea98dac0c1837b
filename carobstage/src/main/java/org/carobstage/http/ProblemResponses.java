package org.carobstage.http;

import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import java.util.Optional;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;

/** Creates problem responses for failed requests. */
public final class ProblemResponses {
    /** The content type of a problem. */
    public static final String CONTENT_TYPE = "application/problem+json";

    private ProblemResponses() {}

    /**
     * Creates the response to a failed request. The client sees the message of a {@link
     * CodedException}, but no detail of any other failure.
     *
     * @param context the request's context
     * @param responseFactory creates the response
     * @param code the error code of a failure that is no {@link CodedException}
     * @param failure the cause of the failed request
     * @return the response
     */
    public static HttpResponse response(
            HttpServiceContext context,
            HttpResponseFactory responseFactory,
            ErrorCode code,
            Throwable failure) {
        Problem problem = toProblem(code, failure);
        byte[] json = Json.writeBytes(problem);
        return responseFactory
                .newResponse(HttpResponseStatus.of(problem.status(), problem.title()))
                .payloadBody(context.executionContext().bufferAllocator().wrap(json))
                .setHeader("content-type", CONTENT_TYPE);
    }

    /**
     * Creates the problem of a request that failed before anything ran.
     *
     * @param code the error code of a failure that is no {@link CodedException}
     * @param failure the cause of the failed request
     * @return the problem
     */
    public static Problem toProblem(ErrorCode code, Throwable failure) {
        return failure instanceof CodedException coded
                ? Problem.of(coded.code(), Problem.NOT_RUN, coded.getMessage(), Optional.empty())
                : Problem.of(code, Problem.NOT_RUN, "", Optional.empty());
    }
}
