package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against writes that wait in the queue until they time out. For seconds, more writes arrive
 * than the primary can execute (three at a time, 30 ms each), so the queue never empties.
 */
class StandingQueueTest {
    /** Writes that the primary can execute per second. */
    private static final int WRITES_PER_SECOND = 100;

    private static final int WRITE_INTERVAL_MILLIS = 6;

    private final SessionFixture fixture = new SessionFixture();
    private final List<SentWrite> writes = new ArrayList<>();

    @BeforeEach
    void setStatementDuration() {
        fixture.service.instances().forEach(i -> i.setStatementDuration(Duration.ofMillis(30)));
    }

    @Test
    void shouldExecuteQueuedWritesBeforeTimeout() {
        sendWritesFor(6_000);
        List<SentWrite> queued =
                writes.stream().filter(w -> w.sentMillis > 2_000 && w.latencyMillis > 0).toList();

        assertThat(queued).hasSizeGreaterThan(4 * WRITES_PER_SECOND * 8 / 10);
        assertThat(queued.stream().filter(w -> w.channel.lastResult().isSuccessful()).count())
                .isGreaterThan(queued.size() * 9L / 10);
    }

    @Test
    void shouldRejectAtOnceWithRetryDelayWhenQueueDoesNotDrain() {
        sendWritesFor(6_000);
        List<SentWrite> rejected =
                writes.stream()
                        .filter(w -> w.sentMillis > 2_000 && !w.channel.lastResult().isSuccessful())
                        .toList();

        assertThat(rejected).isNotEmpty();
        assertThat(rejected)
                .allMatch(
                        w ->
                                w.channel
                                        .lastResult()
                                        .failure()
                                        .get()
                                        .message()
                                        .contains("retry after"));
        assertThat(rejected.stream().filter(w -> w.latencyMillis == 0).count())
                .isGreaterThan(rejected.size() * 9L / 10);
    }

    @Test
    void shouldExecuteAllWritesOfShortBurst() {
        for (int i = 0; i < 30; i++) {
            sendWrite();
        }
        advanceMillis(2_000);

        assertThat(writes).allMatch(w -> w.channel.lastResult().isSuccessful());
    }

    private void sendWritesFor(int durationMillis) {
        for (int t = 0; t < durationMillis; t += WRITE_INTERVAL_MILLIS) {
            sendWrite();
            advanceMillis(WRITE_INTERVAL_MILLIS);
        }
        advanceMillis(2_000);
    }

    private void sendWrite() {
        RecordingChannel channel = new RecordingChannel();
        long sentMillis = fixture.clock.nanoTime() / 1_000_000;
        writes.add(new SentWrite(sentMillis, channel));
        fixture.send(fixture.openSession("primary", channel), new Statement.Write("k", "data"));
    }

    private void advanceMillis(int durationMillis) {
        for (int i = 0; i < durationMillis; i++) {
            long nowMillis = fixture.clock.nanoTime() / 1_000_000;
            writes.stream()
                    .filter(SentWrite::hasNewResult)
                    .forEach(w -> w.recordCompletion(nowMillis));
            fixture.advanceMillis(1);
        }
    }

    private static final class SentWrite {
        private final long sentMillis;
        private final RecordingChannel channel;
        private long latencyMillis = -1;

        private SentWrite(long sentMillis, RecordingChannel channel) {
            this.sentMillis = sentMillis;
            this.channel = channel;
        }

        private boolean hasNewResult() {
            return latencyMillis < 0 && !channel.results.isEmpty();
        }

        private void recordCompletion(long nowMillis) {
            latencyMillis = nowMillis - sentMillis;
        }
    }
}
