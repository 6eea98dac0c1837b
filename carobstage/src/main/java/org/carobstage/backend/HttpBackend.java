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

/** An instance reached over HTTP with JSON. */
public final class HttpBackend implements Backend {
    private final InstanceSpec spec;
    private final JsonClient control;
    private final JsonClient data;

    private HttpBackend(InstanceSpec spec) {
        this.spec = spec;
        this.control = JsonClient.of(spec.address());
        this.data = JsonClient.of(spec.address());
    }

    /**
     * Creates the client of an instance; it connects when first used.
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
        HttpClient client = data.httpClient();
        return client.reserveConnection(client.post("/open"))
                .flatMap(connection -> HttpBackendConnection.open(connection, timeout))
                .timeout(timeout)
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> fetchStatus(
            LogPosition atLeast, Duration wait, Duration timeout) {
        ReplicationStatusRequest ask =
                new ReplicationStatusRequest(
                        atLeast.term().number(), atLeast.offset(), wait.toMillis());
        return control("/standing", ask, timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> promise(Term term, Duration timeout) {
        return control("/promise", new TermRequest(term.number(), null), timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> promote(Term term, Duration timeout) {
        return control("/promote", new TermRequest(term.number(), null), timeout);
    }

    @Override
    public CompletionStage<Optional<ReplicationStatus>> follow(
            Term term, InstanceSpec primary, Duration timeout) {
        String address = primary.address().toString();
        FollowRequest follow = new FollowRequest(term.number(), primary.id().value(), address);
        return control("/follow", follow, timeout);
    }

    @Override
    public void close() {
        control.close();
        data.close();
    }

    private CompletionStage<Optional<ReplicationStatus>> control(
            String path, Object body, Duration timeout) {
        return control.post(path, body, Reply.class, timeout)
                .map(reply -> Optional.ofNullable(reply.standing()))
                .map(standing -> standing.map(ReplicationStatusMessage::toStatus))
                .onErrorReturn(e -> Optional.empty())
                .toCompletionStage();
    }
}
