package org.carobstage.backend;

import static java.util.Objects.requireNonNull;

import io.servicetalk.http.api.HttpClient;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.carobstage.backend.BackendMessages.FollowRequest;
import org.carobstage.backend.BackendMessages.ReplicationStatusMessage;
import org.carobstage.backend.BackendMessages.ReplicationStatusRequest;
import org.carobstage.backend.BackendMessages.Reply;
import org.carobstage.backend.BackendMessages.TermRequest;
import org.carobstage.http.JsonClient;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;

/** Client of an instance over HTTP and JSON. */
public final class HttpBackend implements Backend {
    private final InstanceSpec spec;
    private final JsonClient controlClient;
    private final JsonClient dataClient;

    private HttpBackend(InstanceSpec spec) {
        this.spec = spec;
        this.controlClient = JsonClient.of(spec.address());
        this.dataClient = JsonClient.of(spec.address());
    }

    /**
     * Creates the client of an instance; it connects on first use.
     *
     * @param spec the instance
     * @return the client
     */
    public static HttpBackend of(InstanceSpec spec) {
        return new HttpBackend(requireNonNull(spec, "spec is null"));
    }

    @Override
    public InstanceSpec spec() {
        return spec;
    }

    @Override
    public CompletionStage<BackendConnection> openConnection(Duration timeout) {
        HttpClient client = dataClient.httpClient();
        return client.reserveConnection(client.post("/open"))
                .flatMap(connection -> HttpBackendConnection.open(connection, timeout))
                .timeout(timeout)
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> fetchStatus(
            LogPosition minLogPosition, Duration wait, Duration timeout) {
        ReplicationStatusRequest request =
                new ReplicationStatusRequest(
                        minLogPosition.term().number(), minLogPosition.offset(), wait.toMillis());
        return requestStatus("/standing", request, timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> promise(Term term, Duration timeout) {
        return requestStatus("/promise", new TermRequest(term.number(), null), timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> promote(Term term, Duration timeout) {
        return requestStatus("/promote", new TermRequest(term.number(), null), timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> follow(
            Term term, InstanceSpec primary, Duration timeout) {
        String address = primary.address().toString();
        FollowRequest request = new FollowRequest(term.number(), primary.id().value(), address);
        return requestStatus("/follow", request, timeout);
    }

    @Override
    public void close() {
        controlClient.close();
        dataClient.close();
    }

    private CompletionStage<Optional<ReplicationStatus>> requestStatus(
            String path, Object body, Duration timeout) {
        return controlClient
                .post(path, body, Reply.class, timeout)
                .map(reply -> Optional.ofNullable(reply.standing()))
                .map(status -> status.map(ReplicationStatusMessage::toStatus))
                .onErrorReturn(e -> Optional.empty())
                .toCompletionStage();
    }
}
