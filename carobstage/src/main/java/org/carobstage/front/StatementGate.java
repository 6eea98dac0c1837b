package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.runtime.Clock;

/** Decides during a shutdown whether a statement that a client has sent may still start. */
final class StatementGate {
    private final Clock clock;
    private Optional<Shutdown> shutdown = Optional.empty();

    private StatementGate(Clock clock) {
        this.clock = requireNonNull(clock, "clock is null");
    }

    /**
     * Creates a gate through which every statement may pass.
     *
     * @param clock the clock of the event loop
     * @return the gate
     */
    static StatementGate open(Clock clock) {
        return new StatementGate(clock);
    }

    /** Lets only those statements pass from now on that the schedule has time for. */
    void beginShutdown(ShutdownSchedule schedule) {
        shutdown = Optional.of(new Shutdown(schedule, clock.nanoTime()));
    }

    /**
     * Returns whether a statement may start.
     *
     * @param timeout the timeout of its route
     */
    boolean mayStart(Duration timeout) {
        long nowNanos = clock.nanoTime();
        return shutdown.map(s -> s.schedule().mayStart(timeout, s.elapsed(nowNanos))).orElse(true);
    }

    private record Shutdown(ShutdownSchedule schedule, long startedNanos) {
        private Duration elapsed(long nowNanos) {
            return Duration.ofNanos(nowNanos - startedNanos);
        }
    }
}
