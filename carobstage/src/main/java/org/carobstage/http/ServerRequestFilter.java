package org.carobstage.http;

import static io.servicetalk.concurrent.api.Completable.completed;
import static io.servicetalk.concurrent.api.Completable.failed;
import static java.util.Objects.requireNonNull;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpExecutionStrategy;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.api.StreamingHttpServiceFilter;
import io.servicetalk.http.api.StreamingHttpServiceFilterFactory;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;

/**
 * Stands before a service: bounds the body while it is read, answers every failure with a problem,
 * counts the requests in progress and, once the server stops, asks clients to go elsewhere.
 */
final class ServerRequestFilter implements StreamingHttpServiceFilterFactory {
    private static final Logger LOGGER = System.getLogger(ServerRequestFilter.class.getName());
    private static final int HEADER_OVERHEAD_BYTES = 4;
    private static final int DROPPED_FACTOR = 16;

    private final ServerLimits limits;
    private final ConnectionTracker connections;
    private volatile boolean stopping;

    private ServerRequestFilter(ServerLimits limits, ConnectionTracker connections) {
        this.limits = limits;
        this.connections = connections;
    }

    static ServerRequestFilter of(ServerLimits limits, ConnectionTracker connections) {
        requireNonNull(limits, "limits is null");
        return new ServerRequestFilter(limits, requireNonNull(connections, "connections is null"));
    }

    /** Lets each answer ask the client to close its connection. */
    void startDraining() {
        stopping = true;
    }

    int activeRequestCount() {
        return connections.activeRequestCount();
    }

    @Override
    public StreamingHttpServiceFilter create(StreamingHttpService service) {
        return new Guarded(service);
    }

    @Override
    public HttpExecutionStrategy requiredOffloads() {
        return HttpExecutionStrategies.offloadNone();
    }

    private final class Guarded extends StreamingHttpServiceFilter {
        private Guarded(StreamingHttpService service) {
            super(service);
        }

        @Override
        public Single<StreamingHttpResponse> handle(
                HttpServiceContext context,
                StreamingHttpRequest request,
                StreamingHttpResponseFactory responses) {
            connections.requestStarted(context);
            return Single.defer(() -> guarded(context, request, responses))
                    .onErrorResume(e -> Single.succeeded(problem(context, responses, e)))
                    .map(response -> finishing(response))
                    .beforeOnError(e -> ended(context))
                    .beforeCancel(() -> ended(context))
                    .map(response -> response.transformPayloadBody(b -> untilEnd(context, b)));
        }

        private Single<StreamingHttpResponse> guarded(
                HttpServiceContext context,
                StreamingHttpRequest request,
                StreamingHttpResponseFactory responses) {
            checkHeaders(request);
            StreamingHttpRequest bounded =
                    request.transformPayloadBody(ServerRequestFilter.this::bounded);
            return delegate().handle(context, bounded, responses);
        }

        private Publisher<Buffer> untilEnd(HttpServiceContext context, Publisher<Buffer> body) {
            return body.beforeFinally(() -> ended(context));
        }
    }

    private void ended(HttpServiceContext context) {
        connections.requestEnded(context);
    }

    private StreamingHttpResponse finishing(StreamingHttpResponse response) {
        return stopping ? response.setHeader("connection", "close") : response;
    }

    private void checkHeaders(StreamingHttpRequest request) {
        int bytes = request.requestTarget().length();
        for (Map.Entry<CharSequence, CharSequence> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
        }
        if (bytes > limits.maxHeaderBytes()) {
            throw CodedException.of(
                    ErrorCode.HEADERS_TOO_LARGE,
                    "longer than " + limits.maxHeaderBytes() + " bytes");
        }
        CharSequence length = request.headers().get("content-length");
        if (length != null && tooLong(length.toString())) {
            throw tooLarge();
        }
    }

    private boolean tooLong(String contentLength) {
        try {
            return Long.parseLong(contentLength) > limits.maxBodyBytes();
        } catch (NumberFormatException e) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "bad content-length", e);
        }
    }

    /**
     * Drops what is past the limit and then fails the body; a cancelled body would close the
     * connection before the answer.
     */
    private Publisher<Buffer> bounded(Publisher<Buffer> body) {
        AtomicLong bytes = new AtomicLong();
        return body.map(b -> keep(b, bytes))
                .takeWhile(b -> bytes.get() <= (long) limits.maxBodyBytes() * DROPPED_FACTOR)
                .concat(Completable.defer(() -> end(bytes.get())))
                .timeoutTerminal(limits.idleTimeout());
    }

    private Buffer keep(Buffer part, AtomicLong bytes) {
        boolean fits = bytes.addAndGet(part.readableBytes()) <= limits.maxBodyBytes();
        return fits ? part : part.skipBytes(part.readableBytes());
    }

    private Completable end(long bytes) {
        return bytes > limits.maxBodyBytes() ? failed(tooLarge()) : completed();
    }

    private CodedException tooLarge() {
        return CodedException.of(
                ErrorCode.STATEMENT_TOO_LARGE, "longer than " + limits.maxBodyBytes() + " bytes");
    }

    private static boolean isFault(Throwable failure) {
        return !(failure instanceof CodedException || failure instanceof CancellationException);
    }

    private StreamingHttpResponse problem(
            HttpServiceContext context, StreamingHttpResponseFactory responses, Throwable failure) {
        ErrorCode code = ErrorCode.INTERNAL;
        if (failure instanceof TimeoutException) {
            code = ErrorCode.REQUEST_TOO_SLOW;
        } else if (isFault(failure)) {
            LOGGER.log(Level.ERROR, "request failed", failure);
        }
        Problem problem = ProblemResponses.toProblem(code, failure);
        Buffer json = context.executionContext().bufferAllocator().wrap(Json.writeBytes(problem));
        return responses
                .newResponse(HttpResponseStatus.of(problem.status(), problem.title()))
                .payloadBody(Publisher.from(json))
                .setHeader("content-type", ProblemResponses.CONTENT_TYPE)
                .setHeader("connection", "close");
    }
}
