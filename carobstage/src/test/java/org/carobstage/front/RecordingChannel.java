package org.carobstage.front;

import java.util.ArrayList;
import java.util.List;
import org.carobstage.sql.Answer;
import org.carobstage.sql.Failure;

/** Keeps what a client was sent. */
final class RecordingChannel implements ClientChannel {
    final List<Answer> answers = new ArrayList<>();
    final List<Failure> rejections = new ArrayList<>();
    boolean ready;
    boolean closed;

    @Override
    public void ready() {
        ready = true;
    }

    @Override
    public void reject(Failure failure) {
        rejections.add(failure);
    }

    @Override
    public void answer(Answer answer) {
        answers.add(answer);
    }

    @Override
    public void close() {
        closed = true;
    }

    Answer last() {
        return answers.get(answers.size() - 1);
    }
}
