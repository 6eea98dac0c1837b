package org.carobstage.front;

import java.util.ArrayList;
import java.util.List;
import org.carobstage.sql.Failure;
import org.carobstage.sql.StatementResult;

/** Keeps what a client was sent. */
final class RecordingChannel implements ClientChannel {
    final List<StatementResult> results = new ArrayList<>();
    final List<Failure> rejections = new ArrayList<>();
    boolean ready;
    boolean isClosed;

    @Override
    public void sendReady() {
        ready = true;
    }

    @Override
    public void reject(Failure failure) {
        rejections.add(failure);
    }

    @Override
    public void sendResult(StatementResult answer) {
        results.add(answer);
    }

    @Override
    public void close() {
        isClosed = true;
    }

    StatementResult lastResult() {
        return results.get(results.size() - 1);
    }
}
