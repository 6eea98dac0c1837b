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
import org.carobstage.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class JsonServerTest {
    private static final int MAX_BODY = 1_000;
    private static final int MAX_HEADER = 2_000;
    private static final ServerLimits LIMITS =
            new ServerLimits(MAX_BODY, MAX_HEADER, Duration.ofMillis(400));

    private final JsonServer server =
            JsonServer.of(
                    Address.of("127.0.0.1", 0),
                    ServerOptions.defaults().withLimits(LIMITS),
                    JsonServerTest::handle);

    @AfterEach
    void stop() {
        server.close();
    }

    @Nested
    class Limits {
        @Test
        void shouldRefuseWhenContentLengthIsTooLong() throws IOException {
            assertThat(answer("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n"))
                    .contains("413", "CS-1005", "not-run");
        }

        @Test
        void shouldRefuseWhenChunkedBodyIsTooLong() throws IOException {
            String chunk = "100\r\n" + "x".repeat(256) + "\r\n";

            assertThat(
                            answer(
                                    "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked"
                                            + "\r\n\r\n"
                                            + chunk.repeat(5)
                                            + "0\r\n\r\n"))
                    .contains("413", "CS-1005");
        }

        @Test
        void shouldRefuseWhenHeadersAreAFlood() throws IOException {
            assertThat(
                            answer(
                                    "GET / HTTP/1.1\r\nhost: x\r\n"
                                            + "a: 12345\r\n".repeat(300)
                                            + "\r\n"))
                    .contains("431", "CS-1010");
        }

        @Test
        void shouldCloseWhenOneHeaderIsTooLong() throws IOException {
            assertThat(answer("GET / HTTP/1.1\r\nhost: x\r\na: " + "y".repeat(9_000) + "\r\n\r\n"))
                    .doesNotContain("200 OK");
        }
    }

    @Nested
    class SlowConnections {
        @Test
        void shouldCloseWhenConnectionIsHalfOpen() throws IOException {
            assertThat(answer("")).isEmpty();
        }

        @Test
        void shouldCloseWhenHeadNeverEnds() throws IOException {
            assertThat(answer("GET / HTTP/1.1\r\nhost: x\r\n")).isEmpty();
        }

        @Test
        void shouldCloseAndCountNothingWhenBodyNeverEnds() throws IOException {
            assertThat(answer("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc"))
                    .isEmpty();
            untilNothingIsInProgress();
        }
    }

    @Nested
    class Failures {
        @Test
        void shouldAnswerCodeWithoutTraceWhenServiceThrows() throws IOException {
            assertThat(answer("GET /throw HTTP/1.1\r\nhost: x\r\n\r\n"))
                    .contains("500", "CS-9001")
                    .doesNotContain("secret", "Exception", "at org.");
            untilNothingIsInProgress();
        }
    }

    private static Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        if (request.path().equals("/throw")) {
            throw new IllegalStateException("a secret detail");
        }
        return Single.succeeded(responses.ok());
    }

    /** Sends a text and reads until the server closes. */
    private String answer(String text) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.address().port())) {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return received(socket.getInputStream());
        }
    }

    /** Ends with the class's timeout if a request is counted for ever. */
    private void untilNothingIsInProgress() {
        while (server.activeRequestCount() > 0) {
            Thread.onSpinWait();
        }
    }

    private static String received(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            in.transferTo(bytes);
        } catch (SocketException e) {
            assertThat(e).hasMessageContaining("reset");
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
