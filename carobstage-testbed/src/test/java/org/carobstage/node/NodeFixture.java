package org.carobstage.node;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.carobstage.backend.BackendMessages.FollowRequest;
import org.carobstage.backend.BackendMessages.TermRequest;
import org.carobstage.http.Json;
import org.carobstage.model.Address;
import org.carobstage.model.InstanceId;
import org.carobstage.platform.PlatformMessages.CompareAndSwapRequest;
import org.carobstage.runtime.Closer;
import org.carobstage.settings.SettingsReader;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.InstanceServer;
import org.carobstage.testbed.database.InstanceSettings;
import org.carobstage.testbed.platform.PlatformServer;
import org.carobstage.testbed.platform.PlatformStore;

/**
 * A platform server and the instance servers of one group, and nodes that use them, on free ports.
 */
final class NodeFixture implements AutoCloseable {
    static final String OPERATOR_KEY = "an-operator-key-for-tests";

    private static final Address ANY_PORT = Address.of("127.0.0.1", 0);
    private static final String DOCUMENT =
            """
            [service]
            name = forms
            patience = 10 s
            time-zone = America/Recife
            [class save]
            access = write
            idempotent = yes
            """;

    private final Closer closer = Closer.empty();
    private final Executor executor = Executors.newCachedThreadExecutor();
    private final HttpClient http = HttpClient.newHttpClient();
    private final Address platform;

    private NodeFixture(long serviceMillis) throws Exception {
        closer.add(() -> executor.closeAsync().subscribe());
        PlatformStore store = PlatformStore.empty(System::currentTimeMillis);
        platform = closer.add(PlatformServer.of(store, ANY_PORT, executor)).address();
        store.compareAndSwap(new CompareAndSwapRequest("config/documents/forms", 0, DOCUMENT));
        StringBuilder groupDocument =
                new StringBuilder("[group]\nid = g\nslots = 3\nconnections = 20\n");
        List<Address> instances = new ArrayList<>();
        for (String id : List.of("a", "b", "c")) {
            Address address = startInstance(id, serviceMillis);
            instances.add(address);
            groupDocument.append(
                    "[instance %s]%naddress = %s%ndomain = d%n".formatted(id, address));
        }
        startTermOne(instances);
        store.compareAndSwap(
                new CompareAndSwapRequest("config/groups/g", 0, groupDocument.toString()));
    }

    static NodeFixture of(long serviceMillis) throws Exception {
        return new NodeFixture(serviceMillis);
    }

    Node startNode(String additionalSettings) {
        String settings =
                """
                [vm]
                id = one
                domain = d
                [operator]
                listen = 127.0.0.1:0
                key = %s
                [platform]
                address = %s
                [session]
                token-key = a-token-key-for-tests
                [caller]
                listen = 127.0.0.1:0
                %s
                """
                        .formatted(OPERATOR_KEY, platform, additionalSettings);
        return Node.of(SettingsReader.validate("test", settings).value().orElseThrow());
    }

    CompletableFuture<HttpResponse<String>> sendStatement(Node node, String sql) {
        return sendStatement(http, URI.create("http://" + node.callerAddress()), sql);
    }

    CompletableFuture<HttpResponse<String>> sendStatement(HttpClient client, URI base, String sql) {
        String body = Json.writeString(Map.of("group", "g", "sql", sql));
        HttpRequest request =
                HttpRequest.newBuilder(base.resolve("/v1/statements"))
                        .timeout(Duration.ofSeconds(10))
                        .header("carobstage-service", "forms")
                        .header("carobstage-class", "save")
                        .POST(BodyPublishers.ofString(body))
                        .build();
        return client.sendAsync(request, BodyHandlers.ofString());
    }

    /** Sends the head of a statement request without its body. */
    Socket sendHead(Node node, String body) throws IOException {
        Address address = node.callerAddress();
        Socket socket = new Socket(address.host(), address.port());
        String head =
                "POST /v1/statements HTTP/1.1\r\nhost: "
                        + address
                        + "\r\ncarobstage-service: forms\r\ncarobstage-class: save\r\n"
                        + "content-type: application/json\r\ncontent-length: "
                        + body.length()
                        + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    String readStatusLine(Socket socket) throws IOException {
        return new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                .readLine();
    }

    /** Sends statements until the node, which is stopping, rejects one. */
    void awaitRejectingNewRequests(Node node) {
        for (int i = 0; i < 1_000; i++) {
            if (sendStatement(node, "SELECT 1").join().statusCode() == 503) {
                return;
            }
        }
        throw new AssertionError("the node rejected none of 1,000 statements");
    }

    HttpResponse<String> post(Address address, String path, Object body) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .POST(BodyPublishers.ofString(Json.writeString(body)))
                        .build();
        return http.send(request, BodyHandlers.ofString());
    }

    /** Sends statements until the node serves one, that is, until it has found the primary. */
    void awaitServing(Node node) {
        for (int i = 0; i < 100; i++) {
            if (sendStatement(node, "SELECT 1").join().statusCode() == 200) {
                return;
            }
        }
        throw new AssertionError("the node served none of 100 statements");
    }

    @Override
    public void close() {
        closer.close();
    }

    private Address startInstance(String id, long serviceMillis) throws Exception {
        InstanceSettings settings =
                new InstanceSettings(InstanceId.of(id), 3, 20, 0, 0, serviceMillis);
        DatabaseInstance database = DatabaseInstance.of(settings, System::currentTimeMillis);
        return closer.add(InstanceServer.of(database, ANY_PORT, executor)).address();
    }

    private void startTermOne(List<Address> instances) throws Exception {
        for (Address address : instances) {
            post(address, "/promise", new TermRequest(1, null));
        }
        post(instances.get(0), "/promote", new TermRequest(1, null));
        for (Address address : instances.subList(1, instances.size())) {
            post(address, "/follow", new FollowRequest(1, "a", instances.get(0).toString()));
        }
    }
}
