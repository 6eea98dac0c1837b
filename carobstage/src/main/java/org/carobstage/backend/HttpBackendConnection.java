package org.carobstage.backend;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.ReservedHttpConnection;
import io.servicetalk.transport.api.RetryableException;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.carobstage.backend.BackendMessages.ExecuteRequest;
import org.carobstage.backend.BackendMessages.Reply;
import org.carobstage.backend.BackendMessages.TermRequest;
import org.carobstage.http.JsonClient;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.Term;

/**
 * A connection that is reserved for one user at a time and never returned to the HTTP client's
 * pool.
 */
final class HttpBackendConnection implements BackendConnection {
    private final ReservedHttpConnection connection;

    private HttpBackendConnection(ReservedHttpConnection connection) {
        this.connection = connection;
    }

    static Single<BackendConnection> open(ReservedHttpConnection connection, Duration timeout) {
        HttpBackendConnection opened = new HttpBackendConnection(connection);
        return opened.exchange("/open", new TermRequest(0, null), timeout)
                .flatMap(result -> opened.checkOpened(result))
                .beforeCancel(opened::close);
    }

    @Override
    public CompletionStage<BackendResult> execute(BackendStatement statement, Duration timeout) {
        ExecuteRequest message =
                new ExecuteRequest(
                        statement.term().number(),
                        statement.sql(),
                        statement.parameters(),
                        statement.isReadOnly(),
                        statement.minLogPosition().term().number(),
                        statement.minLogPosition().offset(),
                        statement.key().map(IdempotencyKey::value).orElse(null));
        return exchange("/execute", message, timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<BackendResult> begin(Term term, Duration timeout) {
        return exchange("/begin", new TermRequest(term.number(), null), timeout)
                .toCompletionStage();
    }

    @Override
    public CompletionStage<BackendResult> commit(IdempotencyKey key, Duration timeout) {
        String keyText = Optional.ofNullable(key).map(IdempotencyKey::value).orElse(null);
        return exchange("/commit", new TermRequest(0, keyText), timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<BackendResult> rollback(Duration timeout) {
        return exchange("/rollback", new TermRequest(0, null), timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<BackendResult> lookUpOutcome(
            Term term, IdempotencyKey key, Duration timeout) {
        TermRequest message = new TermRequest(term.number(), key.value());
        return exchange("/lookup", message, timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<BackendResult> ping(Duration timeout) {
        return exchange("/ping", new TermRequest(0, null), timeout).toCompletionStage();
    }

    @Override
    public void close() {
        connection.closeAsync().subscribe();
    }

    private Single<BackendResult> exchange(String path, Object message, Duration timeout) {
        return JsonClient.exchange(connection, path, message, Reply.class, timeout)
                .map(Reply::toResult)
                .onErrorReturn(HttpBackendConnection::noResponse);
    }

    private static BackendResult noResponse(Throwable cause) {
        boolean mayHaveBeenSent = !(cause instanceof RetryableException);
        return new BackendResult.NoResponse(mayHaveBeenSent, cause.toString());
    }

    private Single<BackendConnection> checkOpened(BackendResult result) {
        if (result instanceof BackendResult.Done) {
            return Single.succeeded(this);
        }
        close();
        return Single.failed(new IOException("connection not opened: " + result));
    }
}
