package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.carobstage.upstream.DispatchPolicy.Load;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DispatchPolicyTest {
    private static final Duration TARGET = Duration.ofMillis(250);

    // The square of a large priority overflows: the lowest priority was never held back, or always.
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 46_341, 65_536, 131_072, 1_000_000_000, Integer.MAX_VALUE})
    void shouldHoldBackLowPriorityOnlyWhileQueueIsLong(int priority) {
        Load queueing = new Load(Duration.ofMillis(200), false, 1, Duration.ofMillis(1));
        Load free = new Load(Duration.ZERO, false, 1, Duration.ofMillis(1));

        assertThat(DispatchPolicy.maySend(priority, TARGET, queueing)).isFalse();
        assertThat(DispatchPolicy.maySend(priority, TARGET, free)).isTrue();
    }

    // The priority of the configuration may be any 32-bit integer.
    @ParameterizedTest
    @ValueSource(ints = {0, -1, Integer.MIN_VALUE})
    void shouldNotHoldBackHighestPriority(int priority) {
        Load queueing = new Load(Duration.ofMillis(200), false, 1, Duration.ofMillis(1));

        assertThat(DispatchPolicy.maySend(priority, TARGET, queueing)).isTrue();
    }
}
