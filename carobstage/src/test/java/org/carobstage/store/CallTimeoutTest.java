package org.carobstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CallTimeoutTest {
    private final CallTimeout timeout = CallTimeout.initial();

    @Test
    void shouldDoubleUpToMaximumWhileStoreIsTooSlow() {
        timeout.onTimedOut();
        assertThat(timeout.current()).isEqualTo(Duration.ofMillis(1_200));
        timeout.onTimedOut();
        timeout.onTimedOut();

        assertThat(timeout.current()).isEqualTo(Duration.ofMillis(2_400));
    }

    @Test
    void shouldReturnToInitialValueWhenStoreResponds() {
        timeout.onTimedOut();
        timeout.onAnswered();

        assertThat(timeout.current()).isEqualTo(Duration.ofMillis(600));
    }
}
