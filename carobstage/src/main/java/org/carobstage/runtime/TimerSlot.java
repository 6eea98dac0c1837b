package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/** Holds at most one pending timer. */
public final class TimerSlot {
    private Optional<Clock.Timer> timer = Optional.empty();

    private TimerSlot() {}

    /**
     * Creates a slot without a timer.
     *
     * @return the slot
     */
    public static TimerSlot empty() {
        return new TimerSlot();
    }

    /**
     * Holds a timer; an earlier one is not cancelled.
     *
     * @param newTimer the timer
     */
    public void set(Clock.Timer newTimer) {
        timer = Optional.of(requireNonNull(newTimer, "newTimer is null"));
    }

    /** Forgets the timer because its task runs. */
    public void clear() {
        timer = Optional.empty();
    }

    /** Cancels the timer, if there is one. */
    public void cancel() {
        timer.ifPresent(Clock.Timer::cancel);
        timer = Optional.empty();
    }

    /**
     * Returns whether a timer is pending.
     *
     * @return false if none was set, or if it has run or was cancelled
     */
    public boolean isPending() {
        return timer.isPresent();
    }
}
