package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against overloading the instances when far more reads arrive at once than they can run.
 */
class ReadOverloadTest {
    /** Two statements for each of 3 slots, divided among 5 processes, plus one more. */
    private static final int STATEMENT_LIMIT = 3;

    private final SessionFixture fixture = new SessionFixture();

    @BeforeEach
    void setStatementDuration() {
        fixture.service.instances().forEach(i -> i.setStatementDuration(Duration.ofMillis(30)));
    }

    @Test
    void shouldLimitConcurrentStatementsAtEachInstance() {
        sendReads(200);
        fixture.advanceMillis(2_000);

        assertThat(fixture.service.instances())
                .allMatch(i -> i.maxConcurrentStatements() <= STATEMENT_LIMIT);
    }

    @Test
    void shouldUseAllInstancesWhenOverloaded() {
        sendReads(60);
        fixture.advanceMillis(1_000);

        assertThat(fixture.service.instances()).allMatch(i -> i.executedStatements().size() > 10);
    }

    @Test
    void shouldRejectAtOnceReadsThatExceedCapacity() {
        List<RecordingChannel> channels = sendReads(200);

        long rejected = channels.stream().filter(c -> !c.results.isEmpty()).count();
        assertThat(rejected).isBetween(100L, 150L);
        assertThat(channels.stream().filter(c -> !c.results.isEmpty()))
                .allMatch(c -> c.lastResult().hasFailureCode(FailureCode.BUSY));
    }

    @Test
    void shouldExecuteReadsThatWereNotRejected() {
        List<RecordingChannel> channels = sendReads(200);
        List<RecordingChannel> waiting =
                channels.stream().filter(c -> c.results.isEmpty()).toList();
        fixture.advanceMillis(1_000);

        assertThat(waiting).allMatch(c -> c.results.size() == 1);
        assertThat(waiting.stream().filter(c -> c.lastResult().isSuccessful()).count())
                .isGreaterThan(waiting.size() * 9L / 10);
    }

    private List<RecordingChannel> sendReads(int count) {
        List<RecordingChannel> channels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RecordingChannel channel = new RecordingChannel();
            channels.add(channel);
            fixture.send(fixture.openSession("bounded", channel), new Statement.Read("k" + i));
        }
        return channels;
    }
}
