package org.carobstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServiceContext;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.carobstage.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(20)
class JsonServerTest {
    private static final int MAX_BODY_BYTES = 1_000;
    private static final int MAX_HEADER_BYTES = 2_000;
    private static final ServerLimits LIMITS =
            new ServerLimits(MAX_BODY_BYTES, MAX_HEADER_BYTES, Duration.ofMillis(400));

    private final Queue<String> handledPaths = new ConcurrentLinkedQueue<>();
    private final JsonServer server =
            JsonServer.of(
                    Address.of("127.0.0.1", 0),
                    ServerOptions.defaults().withLimits(LIMITS),
                    this::handle);

    @AfterEach
    void stop() {
        server.close();
    }

    @Nested
    class Limits {
        @Test
        void shouldRejectWhenContentLengthExceedsLimit() throws IOException {
            assertThat(exchange("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n"))
                    .contains("413", "CS-1005", "not-run");
        }

        @Test
        void shouldRejectWhenChunkedBodyExceedsLimit() throws IOException {
            String chunk = "100\r\n" + "x".repeat(256) + "\r\n";

            assertThat(
                            exchange(
                                    "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked"
                                            + "\r\n\r\n"
                                            + chunk.repeat(5)
                                            + "0\r\n\r\n"))
                    .contains("413", "CS-1005");
        }

        @Test
        void shouldRejectWhenTotalHeaderSizeExceedsLimit() throws IOException {
            assertThat(
                            exchange(
                                    "GET / HTTP/1.1\r\nhost: x\r\n"
                                            + "a: 12345\r\n".repeat(300)
                                            + "\r\n"))
                    .contains("431", "CS-1010");
        }

        @Test
        void shouldCloseWhenSingleHeaderExceedsLimit() throws IOException {
            assertThat(
                            exchange(
                                    "GET / HTTP/1.1\r\nhost: x\r\na: "
                                            + "y".repeat(9_000)
                                            + "\r\n\r\n"))
                    .doesNotContain("200 OK");
        }
    }

    /** Requests whose end two readers may see at different places. */
    @Nested
    class Framing {
        private static final String SMUGGLED = "POST /smuggled HTTP/1.1\r\nhost: x\r\n\r\n";

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "content-length: 0\r\ncontent-length: 44\r\n\r\n",
                    "content-length: 44\r\ncontent-length: 0\r\n\r\n",
                    "content-length: 0, 44\r\n\r\n",
                    "content-length: +0\r\n\r\n",
                    "content-length: 0x0\r\n\r\n",
                    "content-length: -1\r\n\r\n",
                    "content-length: 0\n\n",
                    "content-length: 0\r\n\n",
                    "a: b\ncontent-length: 0\r\n\r\n",
                    "content-length : 0\r\n\r\n",
                    "transfer-encoding: chunked\r\ncontent-length: 44\r\n\r\n0\r\n\r\n",
                    "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                    "transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                    "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
                    "transfer-encoding: chunked\r\n\r\n0\n\n",
                    "transfer-encoding: chunked\r\n\r\n0;a\nb\r\n\r\n",
                    "transfer-encoding: chunked\r\n\r\nzz\r\n\r\n",
                    "transfer-encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n"
                })
        void shouldHandleNothingAfterRequestOfUnclearEnd(String rest) throws IOException {
            exchange("POST /first HTTP/1.1\r\nhost: x\r\n" + rest + SMUGGLED);

            assertThat(handledPaths).doesNotContain("/smuggled");
        }

        @Test
        void shouldHandleBothRequestsWhenTheirEndsAreClear() throws IOException {
            exchange("POST /first HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n" + SMUGGLED);

            assertThat(handledPaths).containsExactly("/first", "/smuggled");
        }
    }

    @Nested
    class SlowConnections {
        @Test
        void shouldCloseWhenNothingIsSent() throws IOException {
            assertThat(exchange("")).isEmpty();
        }

        @Test
        void shouldCloseWhenRequestHeadIsIncomplete() throws IOException {
            assertThat(exchange("GET / HTTP/1.1\r\nhost: x\r\n")).isEmpty();
        }

        @Test
        void shouldCloseAndEndRequestWhenBodyIsIncomplete() throws IOException {
            assertThat(exchange("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc"))
                    .isEmpty();
            awaitNoActiveRequests();
        }
    }

    @Nested
    class Failures {
        @Test
        void shouldReturnErrorCodeWithoutStackTraceWhenServiceThrows() throws IOException {
            assertThat(exchange("GET /throw HTTP/1.1\r\nhost: x\r\n\r\n"))
                    .contains("500", "CS-9001")
                    .doesNotContain("secret", "Exception", "at org.");
            awaitNoActiveRequests();
        }
    }

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responseFactory) {
        handledPaths.add(request.path());
        if (request.path().equals("/throw")) {
            throw new IllegalStateException("a secret detail");
        }
        return Single.succeeded(responseFactory.ok());
    }

    /** Sends raw text and reads until the server closes the connection. */
    private String exchange(String text) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.address().port())) {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return readUntilClosed(socket.getInputStream());
        }
    }

    /** Waits until no request is in progress; a leaked request makes the test time out. */
    private void awaitNoActiveRequests() {
        while (server.activeRequestCount() > 0) {
            Thread.onSpinWait();
        }
    }

    private static String readUntilClosed(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            in.transferTo(bytes);
        } catch (SocketException e) {
            assertThat(e).hasMessageContaining("reset");
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
