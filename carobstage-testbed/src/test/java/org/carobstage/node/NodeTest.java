package org.carobstage.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NodeTest {
    private static final long SERVICE_MILLIS = 200;
    private static final int REQUESTS = 6;
    private static final String BODY = "{\"group\":\"g\",\"sql\":\"SELECT 1\"}";

    private NodeFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = NodeFixture.of(SERVICE_MILLIS);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Nested
    class Close {
        @Test
        void shouldAnswerRequestWhenItsBodyArrivesAfterClose() throws Exception {
            Node node = fixture.startNode("[stop]\nnotice = 0 s\nlimit = 10 s");
            fixture.awaitServing(node);
            CompletableFuture<Void> closing;
            try (Socket socket = fixture.sendHead(node, BODY)) {
                while (node.activeRequestCount() == 0) {
                    Thread.onSpinWait();
                }
                closing = CompletableFuture.runAsync(node::close);
                while (node.isReady()) {
                    Thread.onSpinWait();
                }
                fixture.awaitRejectingNewRequests(node);
                socket.getOutputStream().write(BODY.getBytes(StandardCharsets.UTF_8));

                assertThat(fixture.readStatusLine(socket)).contains("200 OK");
            }
            closing.get(20, TimeUnit.SECONDS);
        }

        @Test
        void shouldAnswerAllRequestsInProgressWhenClosed() throws Exception {
            Node node = fixture.startNode("[stop]\nnotice = 0 s\nlimit = 10 s");
            fixture.awaitServing(node);
            List<CompletableFuture<HttpResponse<String>>> responses =
                    IntStream.range(0, REQUESTS)
                            .mapToObj(i -> fixture.sendStatement(node, "SELECT " + i))
                            .toList();
            while (node.activeRequestCount() < REQUESTS) {
                Thread.onSpinWait();
            }

            node.close();

            for (CompletableFuture<HttpResponse<String>> response : responses) {
                assertThat(response.get(5, TimeUnit.SECONDS).body()).contains("\"done\"");
                assertThat(response.join().headers().firstValue("connection")).contains("close");
            }
            assertThat(fixture.sendStatement(node, "SELECT 1")).failsWithin(5, TimeUnit.SECONDS);
        }

        @Test
        void shouldServeNewRequestsDuringDeregistrationDelayWhenClosed() throws Exception {
            Node node = fixture.startNode("[stop]\nnotice = 2 s\nlimit = 10 s");
            fixture.awaitServing(node);

            CompletableFuture<Void> closing = CompletableFuture.runAsync(node::close);
            while (node.isReady()) {
                Thread.onSpinWait();
            }

            HttpResponse<String> response = fixture.sendStatement(node, "SELECT 1").join();
            assertThat(response.statusCode()).isEqualTo(200);
            closing.get(20, TimeUnit.SECONDS);
        }

        @Test
        void shouldStopAfterDrainTimeoutWhenRequestTakesLonger() throws Exception {
            Node node = fixture.startNode("[stop]\nnotice = 0 s\nlimit = 20 ms");
            fixture.awaitServing(node);
            fixture.sendStatement(node, "SELECT 1");
            while (node.activeRequestCount() == 0) {
                Thread.onSpinWait();
            }

            assertThat(CompletableFuture.runAsync(node::close)).succeedsWithin(5, TimeUnit.SECONDS);
        }
    }
}
