package org.carobstage.quota;

import java.time.Duration;
import java.util.Optional;

/** Whether the owner of a shard has stopped responding, and for how long. */
final class StandalonePeriod {
    /** The wait for a response and the wait before the equal share is used. */
    static final Duration RESPONSE_LIMIT = Duration.ofMillis(800);

    private long respondedNanos;
    private Optional<Long> sinceNanos = Optional.empty();
    private long endedNanos;

    StandalonePeriod(long nowNanos) {
        this.respondedNanos = nowNanos;
    }

    /** Records a response of the owner and returns the length of the period that it ends. */
    Optional<Duration> onResponse(long nowNanos) {
        respondedNanos = nowNanos;
        Optional<Duration> ended = sinceNanos.map(since -> Duration.ofNanos(nowNanos - since));
        endedNanos += ended.map(Duration::toNanos).orElse(0L);
        sinceNanos = Optional.empty();
        return ended;
    }

    /** Returns whether a period has begun since the last call. */
    boolean begins(long nowNanos) {
        if (sinceNanos.isPresent() || nowNanos - respondedNanos < RESPONSE_LIMIT.toNanos()) {
            return false;
        }
        sinceNanos = Optional.of(nowNanos);
        return true;
    }

    /** Returns the length of all periods. */
    Duration total(long nowNanos) {
        return Duration.ofNanos(endedNanos + sinceNanos.map(since -> nowNanos - since).orElse(0L));
    }
}
