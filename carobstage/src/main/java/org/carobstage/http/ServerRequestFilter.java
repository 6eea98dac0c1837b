package org.carobstage.http;

import static io.servicetalk.concurrent.api.Completable.completed;
import static io.servicetalk.concurrent.api.Completable.failed;
import static java.util.Objects.requireNonNull;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.CharSequences;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpExecutionStrategy;
import io.servicetalk.http.api.HttpMetaData;
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
 * Filters the requests to a service: limits the size of headers and body, turns each failure into a
 * problem response, counts the requests in progress and, once the server drains, asks clients to
 * close their connections.
 */
final class ServerRequestFilter implements StreamingHttpServiceFilterFactory {
    private static final Logger LOGGER = System.getLogger(ServerRequestFilter.class.getName());
    private static final ContextMap.Key<Boolean> RECEIVED_TOO_LATE =
            ContextMap.Key.newKey("received-too-late", Boolean.class);

    private static final int HEADER_OVERHEAD_BYTES = 4;
    private static final int MAX_DISCARDED_BODY_FACTOR = 16;

    private final ServerLimits limits;
    private final ConnectionTracker connectionTracker;
    private volatile boolean draining;
    private volatile boolean rejectsNewRequests;

    private ServerRequestFilter(ServerLimits limits, ConnectionTracker connectionTracker) {
        this.limits = limits;
        this.connectionTracker = connectionTracker;
    }

    static ServerRequestFilter of(ServerLimits limits, ConnectionTracker connectionTracker) {
        requireNonNull(limits, "limits is null");
        return new ServerRequestFilter(
                limits, requireNonNull(connectionTracker, "connectionTracker is null"));
    }

    /** Adds {@code connection: close} to each following response. */
    void startDraining() {
        draining = true;
    }

    /** Marks the requests whose heads arrive from now on. */
    void rejectNewRequests() {
        rejectsNewRequests = true;
    }

    /** Returns whether a request arrived after new ones are rejected. */
    static boolean isReceivedTooLate(HttpMetaData request) {
        return request.context().getOrDefault(RECEIVED_TOO_LATE, false);
    }

    int activeRequestCount() {
        return connectionTracker.activeRequestCount();
    }

    @Override
    public StreamingHttpServiceFilter create(StreamingHttpService service) {
        return new FilteredService(service);
    }

    @Override
    public HttpExecutionStrategy requiredOffloads() {
        return HttpExecutionStrategies.offloadNone();
    }

    private final class FilteredService extends StreamingHttpServiceFilter {
        private FilteredService(StreamingHttpService service) {
            super(service);
        }

        @Override
        public Single<StreamingHttpResponse> handle(
                HttpServiceContext context,
                StreamingHttpRequest request,
                StreamingHttpResponseFactory responseFactory) {
            // A request that counts as in progress must not be rejected when its body arrives.
            request.context().put(RECEIVED_TOO_LATE, rejectsNewRequests);
            connectionTracker.requestStarted(context);
            return Single.defer(() -> handleWithLimits(context, request, responseFactory))
                    .onErrorResume(
                            e -> Single.succeeded(problemResponse(context, responseFactory, e)))
                    .map(response -> withConnectionHeader(request, response))
                    .beforeOnError(e -> requestEnded(context))
                    .beforeCancel(() -> requestEnded(context))
                    .map(
                            response ->
                                    response.transformPayloadBody(body -> trackEnd(context, body)));
        }

        private Single<StreamingHttpResponse> handleWithLimits(
                HttpServiceContext context,
                StreamingHttpRequest request,
                StreamingHttpResponseFactory responseFactory) {
            checkHeaders(request);
            StreamingHttpRequest limited =
                    request.transformPayloadBody(ServerRequestFilter.this::limitBody);
            return delegate().handle(context, limited, responseFactory);
        }

        private Publisher<Buffer> trackEnd(HttpServiceContext context, Publisher<Buffer> body) {
            return body.beforeFinally(() -> requestEnded(context));
        }
    }

    private void requestEnded(HttpServiceContext context) {
        connectionTracker.requestEnded(context);
    }

    /**
     * Asks for a new connection while draining, and after a chunked body of HTTP/1: the decoder
     * drops a content-length beside it, by which another reader may see another end (RFC 9112,
     * 6.3).
     */
    private StreamingHttpResponse withConnectionHeader(
            HttpMetaData request, StreamingHttpResponse response) {
        boolean isChunked =
                request.version().major() == 1 && request.headers().contains("transfer-encoding");
        return draining || isChunked ? response.setHeader("connection", "close") : response;
    }

    private void checkHeaders(StreamingHttpRequest request) {
        int bytes = request.requestTarget().length();
        for (Map.Entry<CharSequence, CharSequence> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
        }
        if (bytes > limits.maxHeaderBytes()) {
            throw CodedException.of(
                    ErrorCode.HEADERS_TOO_LARGE,
                    "request target and headers are longer than "
                            + limits.maxHeaderBytes()
                            + " bytes");
        }
        checkTransferEncoding(request);
        CharSequence length = request.headers().get("content-length");
        if (length != null && exceedsBodyLimit(length.toString())) {
            throw bodyTooLarge();
        }
    }

    /** Another reader may take the end of the body from an encoding that is not read here. */
    private static void checkTransferEncoding(HttpMetaData request) {
        CharSequence encoding = request.headers().get("transfer-encoding");
        if (encoding != null && !CharSequences.contentEqualsIgnoreCase(encoding, "chunked")) {
            throw CodedException.of(
                    ErrorCode.MALFORMED_REQUEST,
                    "the body has another transfer-encoding than chunked");
        }
    }

    private boolean exceedsBodyLimit(String contentLength) {
        try {
            return Long.parseLong(contentLength) > limits.maxBodyBytes();
        } catch (NumberFormatException e) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "bad content-length", e);
        }
    }

    /**
     * Discards the bytes beyond the limit and fails the body at its end, or once it exceeds {@link
     * #MAX_DISCARDED_BODY_FACTOR} times the limit. Cancelling the body at the limit would close the
     * connection before the response is sent.
     */
    private Publisher<Buffer> limitBody(Publisher<Buffer> body) {
        AtomicLong receivedBytes = new AtomicLong();
        return body.map(buffer -> discardExcess(buffer, receivedBytes))
                .takeWhile(
                        buffer ->
                                receivedBytes.get()
                                        <= (long) limits.maxBodyBytes() * MAX_DISCARDED_BODY_FACTOR)
                .concat(Completable.defer(() -> checkBodySize(receivedBytes.get())))
                .timeoutTerminal(limits.idleTimeout());
    }

    private Buffer discardExcess(Buffer part, AtomicLong receivedBytes) {
        boolean fits = receivedBytes.addAndGet(part.readableBytes()) <= limits.maxBodyBytes();
        return fits ? part : part.skipBytes(part.readableBytes());
    }

    private Completable checkBodySize(long bytes) {
        return bytes > limits.maxBodyBytes() ? failed(bodyTooLarge()) : completed();
    }

    private CodedException bodyTooLarge() {
        return CodedException.of(
                ErrorCode.STATEMENT_TOO_LARGE,
                "the request body is longer than " + limits.maxBodyBytes() + " bytes");
    }

    private static boolean isUnexpected(Throwable failure) {
        return !(failure instanceof CodedException || failure instanceof CancellationException);
    }

    private StreamingHttpResponse problemResponse(
            HttpServiceContext context,
            StreamingHttpResponseFactory responseFactory,
            Throwable failure) {
        ErrorCode code = ErrorCode.INTERNAL;
        if (failure instanceof TimeoutException) {
            code = ErrorCode.REQUEST_TOO_SLOW;
        } else if (isUnexpected(failure)) {
            LOGGER.log(Level.ERROR, "request failed", failure);
        }
        Problem problem = ProblemResponses.toProblem(code, failure);
        Buffer json = context.executionContext().bufferAllocator().wrap(Json.writeBytes(problem));
        return responseFactory
                .newResponse(HttpResponseStatus.of(problem.status(), problem.title()))
                .payloadBody(Publisher.from(json))
                .setHeader("content-type", ProblemResponses.CONTENT_TYPE)
                .setHeader("connection", "close");
    }
}
