package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.LongAdder;
import org.carobstage.testbed.history.Entry;
import org.carobstage.testbed.history.Operation.Outcome;

/** Finds the throughput of an entry VM: each of many callers sends its next request at once. */
public final class ClosedLoopLoadGenerator {
    private static final double NANOS_PER_SECOND = 1e9;

    private final CallerClient entry;
    private final String group;
    private final String token;
    private final long endNanos;
    private final LongAdder done = new LongAdder();
    private final Phaser running = new Phaser(1);

    private ClosedLoopLoadGenerator(CallerClient entry, String group, String token, long endNanos) {
        this.entry = entry;
        this.group = group;
        this.token = token;
        this.endNanos = endNanos;
    }

    /**
     * Runs short reads at replicas.
     *
     * @param entry the entry VM
     * @param group the database group
     * @param token a session token, without which no replica may answer
     * @param callers how many requests run at once
     * @param duration how long
     * @return the statements that ran, per second
     */
    public static double measureThroughput(
            CallerClient entry, String group, String token, int callers, Duration duration) {
        requireNonNull(entry, "entry is null");
        long begin = System.nanoTime();
        ClosedLoopLoadGenerator loop =
                new ClosedLoopLoadGenerator(entry, group, token, begin + duration.toNanos());
        for (int i = 0; i < callers; i++) {
            loop.running.register();
            loop.next("owner-" + i);
        }
        loop.running.arriveAndAwaitAdvance();
        return loop.done.sum() * NANOS_PER_SECOND / (System.nanoTime() - begin);
    }

    private void next(String owner) {
        if (System.nanoTime() - endNanos >= 0) {
            running.arriveAndDeregister();
            return;
        }
        CallerRequest call =
                new CallerRequest(
                        Workload.SHORT_READS.service(),
                        "draft-list",
                        group,
                        Entry.SELECT_BY_OWNER,
                        List.of(owner),
                        Optional.of(token),
                        Optional.empty());
        entry.send(call)
                .whenComplete(
                        (reply, error) -> {
                            if (reply.outcome() == Outcome.DONE) {
                                done.increment();
                            }
                            next(owner);
                        });
    }
}
