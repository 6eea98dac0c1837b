package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;
import org.carobstage.runtime.Clock;

/**
 * Records promotions in the platform's key-value service. Nothing waits for the record: the
 * promised term fences the previous primary, and every VM learns the primary from the instances.
 */
public final class PromotionAnnouncer implements Consumer<PromotionAnnouncement> {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 30;

    private final Platform platform;
    private final Clock clock;
    private final EventLog events;

    private PromotionAnnouncer(Platform platform, Clock clock, EventLog events) {
        this.platform = platform;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Creates an announcer.
     *
     * @param platform the platform
     * @param clock the runtime's clock
     * @param events records announcements that failed
     * @return the announcer
     */
    public static PromotionAnnouncer of(Platform platform, Clock clock, EventLog events) {
        requireNonNull(platform, "platform is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(events, "events is null");
        return new PromotionAnnouncer(platform, clock, events);
    }

    /**
     * Records a promotion unless a later one is recorded; retries while the service is unavailable.
     *
     * @param announcement the promotion
     */
    @Override
    public void accept(PromotionAnnouncement announcement) {
        attempt(announcement, 1);
    }

    private void attempt(PromotionAnnouncement announcement, int attemptNumber) {
        platform.get(announcement.key())
                .thenAccept(
                        entry -> {
                            if (entry.isEmpty()) {
                                retry(announcement, attemptNumber);
                            } else if (!isRecorded(announcement, entry.get())) {
                                write(announcement, entry.get(), attemptNumber);
                            }
                        });
    }

    private void write(PromotionAnnouncement announcement, Entry entry, int attemptNumber) {
        platform.compareAndSwap(announcement.key(), entry.version(), announcement.value())
                .thenAccept(
                        result -> {
                            if (!(result instanceof CasResult.Swapped)) {
                                retry(announcement, attemptNumber);
                            }
                        });
    }

    /** Reads the record again after a lost response or a concurrent change. */
    private void retry(PromotionAnnouncement announcement, int attemptNumber) {
        if (attemptNumber < MAX_ATTEMPTS) {
            clock.schedule(() -> attempt(announcement, attemptNumber + 1), RETRY_DELAY);
        } else {
            events.record(
                    EventCode.ANNOUNCEMENT_FAILED,
                    EventScope.of(announcement.group()),
                    announcement.value());
        }
    }

    private static boolean isRecorded(PromotionAnnouncement announcement, Entry entry) {
        Optional<PromotionAnnouncement> recorded =
                PromotionAnnouncement.parse(announcement.group(), entry.value());
        return recorded.filter(r -> !announcement.term().isAfter(r.term())).isPresent();
    }
}
