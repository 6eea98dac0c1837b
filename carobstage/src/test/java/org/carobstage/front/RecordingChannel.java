package org.carobstage.front;

import java.util.ArrayList;
import java.util.List;
import org.carobstage.sql.Failure;
import org.carobstage.sql.StatementResult;

/** A client channel that records what is sent to the client. */
final class RecordingChannel implements ClientChannel {
    final List<StatementResult> results = new ArrayList<>();
    final List<Failure> rejections = new ArrayList<>();
    boolean isReady;
    boolean isClosed;
    boolean isFailing;

    @Override
    public void sendReady() {
        isReady = true;
    }

    @Override
    public void reject(Failure failure) {
        rejections.add(failure);
    }

    @Override
    public void sendResult(StatementResult result) {
        results.add(result);
    }

    @Override
    public void close() {
        if (isFailing) {
            throw new IllegalStateException("channel failed");
        }
        isClosed = true;
    }

    StatementResult lastResult() {
        return results.get(results.size() - 1);
    }
}
