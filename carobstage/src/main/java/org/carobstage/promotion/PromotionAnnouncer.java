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
 * Records promotions in the platform's key-value service. Nothing waits for it: the promised term
 * is the fence, and every VM learns the primary from the instances.
 */
public final class PromotionAnnouncer implements Consumer<PromotionAnnouncement> {
    private static final Duration RETRY = Duration.ofSeconds(1);
    private static final int MAX_TRIES = 30;

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
     * @param events records what could not be announced
     * @return the announcer
     */
    public static PromotionAnnouncer of(Platform platform, Clock clock, EventLog events) {
        requireNonNull(platform, "platform is null");
        requireNonNull(clock, "clock is null");
        requireNonNull(events, "events is null");
        return new PromotionAnnouncer(platform, clock, events);
    }

    /**
     * Records a promotion unless a later one is recorded; tries again while the service is down.
     *
     * @param announcement the promotion
     */
    @Override
    public void accept(PromotionAnnouncement announcement) {
        attempt(announcement, 1);
    }

    private void attempt(PromotionAnnouncement announcement, int number) {
        platform.get(announcement.key())
                .thenAccept(
                        entry -> {
                            if (entry.isEmpty()) {
                                again(announcement, number);
                            } else if (!isRecorded(announcement, entry.get())) {
                                write(announcement, entry.get(), number);
                            }
                        });
    }

    private void write(PromotionAnnouncement announcement, Entry entry, int number) {
        platform.compareAndSwap(announcement.key(), entry.version(), announcement.value())
                .thenAccept(
                        result -> {
                            if (!(result instanceof CasResult.Swapped)) {
                                again(announcement, number);
                            }
                        });
    }

    /** A lost answer and a lost race both lead back to reading what stands. */
    private void again(PromotionAnnouncement announcement, int number) {
        if (number < MAX_TRIES) {
            clock.schedule(() -> attempt(announcement, number + 1), RETRY);
        } else {
            events.record(
                    EventCode.ANNOUNCEMENT_FAILED,
                    EventScope.of(announcement.group()),
                    announcement.value());
        }
    }

    private static boolean isRecorded(PromotionAnnouncement announcement, Entry entry) {
        Optional<PromotionAnnouncement> standing =
                PromotionAnnouncement.parse(announcement.group(), entry.value());
        return standing.filter(s -> !announcement.term().isAfter(s.term())).isPresent();
    }
}
