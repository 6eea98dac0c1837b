package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Far more reads at once than the slots of the instances can serve. */
class RushOnFewSlotsTest {
    /** Two statements for each of 3 slots, shared by 5 processes, and one more. */
    private static final int STATEMENT_LIMIT = 3;

    private final SessionFixture fixture = new SessionFixture();

    @BeforeEach
    void slowDown() {
        fixture.service.instances().forEach(i -> i.setWork(Duration.ofMillis(30)));
    }

    @Test
    void shouldKeepFewStatementsAtEachInstance() {
        rush(200);
        fixture.run(2_000);

        assertThat(fixture.service.instances()).allMatch(i -> i.mostRunning() <= STATEMENT_LIMIT);
    }

    @Test
    void shouldUseAllInstancesInRush() {
        rush(60);
        fixture.run(1_000);

        assertThat(fixture.service.instances()).allMatch(i -> i.ran().size() > 10);
    }

    @Test
    void shouldRefuseAtOnceWhatCanNotBeServed() {
        List<RecordingChannel> channels = rush(200);

        long refused = channels.stream().filter(c -> !c.answers.isEmpty()).count();
        assertThat(refused).isBetween(100L, 150L);
        assertThat(channels.stream().filter(c -> !c.answers.isEmpty()))
                .allMatch(c -> c.last().failedWith(FailureCode.BUSY));
    }

    @Test
    void shouldServeWhatWasNotRefused() {
        List<RecordingChannel> channels = rush(200);
        List<RecordingChannel> waiting =
                channels.stream().filter(c -> c.answers.isEmpty()).toList();
        fixture.run(1_000);

        assertThat(waiting).allMatch(c -> c.answers.size() == 1);
        assertThat(waiting.stream().filter(c -> c.last().succeeded()).count())
                .isGreaterThan(waiting.size() * 9L / 10);
    }

    private List<RecordingChannel> rush(int count) {
        List<RecordingChannel> channels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RecordingChannel channel = new RecordingChannel();
            channels.add(channel);
            fixture.send(fixture.open("bounded", channel), new Statement.Read("k" + i));
        }
        return channels;
    }
}
