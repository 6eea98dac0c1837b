package org.carobstage.backend;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.ReservedHttpConnection;
import io.servicetalk.transport.api.RetryableException;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.carobstage.backend.BackendMessages.Execute;
import org.carobstage.backend.BackendMessages.Reply;
import org.carobstage.backend.BackendMessages.Termed;
import org.carobstage.http.JsonClient;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.Term;

/** A connection that is reserved for one user at a time and never goes back to a pool. */
final class HttpBackendConnection implements BackendConnection {
    private final ReservedHttpConnection connection;

    private HttpBackendConnection(ReservedHttpConnection connection) {
        this.connection = connection;
    }

    static Single<BackendConnection> opened(ReservedHttpConnection connection, Duration timeout) {
        HttpBackendConnection opened = new HttpBackendConnection(connection);
        return opened.exchange("/open", new Termed(0, null), timeout)
                .flatMap(answer -> opened.checkOpened(answer))
                .beforeCancel(opened::close);
    }

    @Override
    public CompletionStage<Answer> execute(Statement statement, Duration timeout) {
        Execute message =
                new Execute(
                        statement.term().number(),
                        statement.sql(),
                        statement.parameters(),
                        statement.readOnly(),
                        statement.atLeast().term().number(),
                        statement.atLeast().offset(),
                        statement.key().map(IdempotencyKey::value).orElse(null));
        return exchange("/execute", message, timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<Answer> begin(Term term, Duration timeout) {
        return exchange("/begin", new Termed(term.number(), null), timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<Answer> commit(IdempotencyKey key, Duration timeout) {
        String text = Optional.ofNullable(key).map(IdempotencyKey::value).orElse(null);
        return exchange("/commit", new Termed(0, text), timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<Answer> rollback(Duration timeout) {
        return exchange("/rollback", new Termed(0, null), timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<Answer> lookup(Term term, IdempotencyKey key, Duration timeout) {
        Termed message = new Termed(term.number(), key.value());
        return exchange("/lookup", message, timeout).toCompletionStage();
    }

    @Override
    public CompletionStage<Answer> ping(Duration timeout) {
        return exchange("/ping", new Termed(0, null), timeout).toCompletionStage();
    }

    @Override
    public void close() {
        connection.closeAsync().subscribe();
    }

    private Single<Answer> exchange(String path, Object message, Duration timeout) {
        return JsonClient.exchange(connection, path, message, Reply.class, timeout)
                .map(Reply::toAnswer)
                .onErrorReturn(HttpBackendConnection::lost);
    }

    private static Answer lost(Throwable cause) {
        boolean sent = !(cause instanceof RetryableException);
        return new Answer.Lost(sent, cause.toString());
    }

    private Single<BackendConnection> checkOpened(Answer answer) {
        if (answer instanceof Answer.Done) {
            return Single.succeeded(this);
        }
        close();
        return Single.failed(new IOException("connection not opened: " + answer));
    }
}
