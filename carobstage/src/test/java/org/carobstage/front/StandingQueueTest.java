package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** For seconds more writes than the primary can take: three at a time, 30 ms each. */
class StandingQueueTest {
    /** What the primary can take in a second. */
    private static final int CAPACITY = 100;

    private static final int INTERVAL_MILLIS = 6;

    private final SessionFixture fixture = new SessionFixture();
    private final List<Asked> asked = new ArrayList<>();

    @BeforeEach
    void slowDown() {
        fixture.service.instances().forEach(i -> i.setStatementDuration(Duration.ofMillis(30)));
    }

    @Test
    void shouldServeBeforeTimeoutWhatIsNotRefusedAtOnce() {
        write(6_000);
        List<Asked> waited = asked.stream().filter(a -> a.millis > 2_000 && a.took > 0).toList();

        assertThat(waited).hasSizeGreaterThan(4 * CAPACITY * 8 / 10);
        assertThat(waited.stream().filter(a -> a.channel.lastResult().isSuccessful()).count())
                .isGreaterThan(waited.size() * 9L / 10);
    }

    @Test
    void shouldRefuseAtOnceAndTellWhenToComeBackWhenQueueStands() {
        write(6_000);
        List<Asked> refused =
                asked.stream()
                        .filter(a -> a.millis > 2_000 && !a.channel.lastResult().isSuccessful())
                        .toList();

        assertThat(refused).isNotEmpty();
        assertThat(refused)
                .allMatch(
                        a ->
                                a.channel
                                        .lastResult()
                                        .failure()
                                        .get()
                                        .message()
                                        .contains("retry after"));
        assertThat(refused.stream().filter(a -> a.took == 0).count())
                .isGreaterThan(refused.size() * 9L / 10);
    }

    @Test
    void shouldServeRushThatIsSoonOver() {
        for (int i = 0; i < 30; i++) {
            ask();
        }
        settle(2_000);

        assertThat(asked).allMatch(a -> a.channel.lastResult().isSuccessful());
    }

    private void write(int millis) {
        for (int t = 0; t < millis; t += INTERVAL_MILLIS) {
            ask();
            settle(INTERVAL_MILLIS);
        }
        settle(2_000);
    }

    private void ask() {
        RecordingChannel channel = new RecordingChannel();
        long millis = fixture.clock.nanoTime() / 1_000_000;
        asked.add(new Asked(millis, channel));
        fixture.send(fixture.openSession("primary", channel), new Statement.Write("k", "data"));
    }

    private void settle(int millis) {
        for (int i = 0; i < millis; i++) {
            long now = fixture.clock.nanoTime() / 1_000_000;
            asked.stream().filter(Asked::isAnswered).forEach(a -> a.answeredBy(now));
            fixture.advanceMillis(1);
        }
    }

    private static final class Asked {
        private final long millis;
        private final RecordingChannel channel;
        private long took = -1;

        private Asked(long millis, RecordingChannel channel) {
            this.millis = millis;
            this.channel = channel;
        }

        private boolean isAnswered() {
            return took < 0 && !channel.results.isEmpty();
        }

        private void answeredBy(long now) {
            took = now - millis;
        }
    }
}
