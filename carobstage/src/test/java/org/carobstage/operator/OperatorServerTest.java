package org.carobstage.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.security.Secret;
import org.carobstage.settings.OperatorSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OperatorServerTest {
    private static final String KEY = "an-operator-key-for-tests";

    private final EventLog events = EventLog.of(VmId.of("one"), ManualClock.of(Instant.EPOCH), 10);
    private boolean ready = true;
    private OperatorServer server;

    @BeforeEach
    void start() {
        server = server(Optional.of(Secret.of(KEY)));
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @Nested
    class Get {
        @Test
        void shouldFailReadinessButNotLivenessWhenNotReady() throws Exception {
            assertThat(get("/ready", "").statusCode()).isEqualTo(200);
            ready = false;

            assertThat(get("/ready", "").statusCode()).isEqualTo(503);
            assertThat(get("/live", "").statusCode()).isEqualTo(200);
        }

        @Test
        void shouldReturnUnauthorizedAndRecordEventWhenKeyIsMissingOrWrong() throws Exception {
            for (String key : List.of("", "Bearer ", "Bearer wrong", KEY)) {
                HttpResponse<String> response = get("/v1/timeline", key);

                assertThat(response.statusCode()).isEqualTo(401);
                assertThat(response.body()).contains("CS-4005").doesNotContain(KEY);
            }
            assertThat(events.localEvents())
                    .extracting(e -> e.code())
                    .containsOnly(EventCode.OPERATOR_REFUSED);
        }

        @Test
        void shouldReturnStatusWhenKeyIsCorrect() {
            try (OperatorClient client =
                    OperatorClient.of(server.address(), KEY, Optional.empty())) {
                assertThat(client.get("/v1/status", StatusMessage.class).vm()).isEqualTo("one");
            }
        }

        @Test
        void shouldReturnUnauthorizedWhenNoKeyIsConfigured() {
            try (OperatorServer serverWithoutKey = server(Optional.empty());
                    OperatorClient client =
                            OperatorClient.of(serverWithoutKey.address(), "", Optional.empty())) {
                assertThatThrownBy(() -> client.get("/v1/status", StatusMessage.class))
                        .hasMessageContaining("key");
            }
        }
    }

    private OperatorServer server(Optional<Secret> key) {
        StatusMessage status = new StatusMessage("one", "caruaru", "0", true, List.of(), List.of());
        OperatorEndpointData endpointData =
                new OperatorEndpointData(
                        new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                        events,
                        () -> ready,
                        () -> status);
        Address anyPort = Address.of("127.0.0.1", 0);
        return OperatorServer.of(
                new OperatorSettings(anyPort, key, Optional.empty()), endpointData);
    }

    private HttpResponse<String> get(String path, String authorization) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
                        .header("authorization", authorization)
                        .build();
        return HttpClient.newHttpClient().send(request, BodyHandlers.ofString());
    }
}
