package org.carobstage.testbed.load;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.LongAdder;
import org.carobstage.testbed.history.Entry;
import org.carobstage.testbed.history.Operation.Outcome;

/**
 * Measures the throughput of an entry VM under closed-loop load: each caller sends its next request
 * as soon as the previous one completes.
 */
public final class ClosedLoopLoadGenerator {
    private static final double NANOS_PER_SECOND = 1e9;

    private final CallerClient entryVm;
    private final String group;
    private final String sessionToken;
    private final long endNanos;
    private final LongAdder completedStatements = new LongAdder();
    private final Phaser activeCallers = new Phaser(1);

    private ClosedLoopLoadGenerator(
            CallerClient entryVm, String group, String sessionToken, long endNanos) {
        this.entryVm = entryVm;
        this.group = group;
        this.sessionToken = sessionToken;
        this.endNanos = endNanos;
    }

    /**
     * Sends short reads that replicas may serve, and measures their throughput.
     *
     * @param entryVm the client of the entry VM
     * @param group the database group
     * @param sessionToken a session token, without which no replica serves a read
     * @param callers the number of concurrent callers
     * @param duration the time during which requests are sent
     * @return the completed statements per second
     */
    public static double measureThroughput(
            CallerClient entryVm,
            String group,
            String sessionToken,
            int callers,
            Duration duration) {
        requireNonNull(entryVm, "entryVm is null");
        long startNanos = System.nanoTime();
        ClosedLoopLoadGenerator generator =
                new ClosedLoopLoadGenerator(
                        entryVm, group, sessionToken, startNanos + duration.toNanos());
        for (int i = 0; i < callers; i++) {
            generator.activeCallers.register();
            generator.sendNext("owner-" + i);
        }
        generator.activeCallers.arriveAndAwaitAdvance();
        return generator.completedStatements.sum()
                * NANOS_PER_SECOND
                / (System.nanoTime() - startNanos);
    }

    private void sendNext(String owner) {
        if (System.nanoTime() - endNanos >= 0) {
            activeCallers.arriveAndDeregister();
            return;
        }
        CallerRequest request =
                new CallerRequest(
                        Workload.SHORT_READS.service(),
                        "draft-list",
                        group,
                        Entry.SELECT_BY_OWNER,
                        List.of(owner),
                        Optional.of(sessionToken),
                        Optional.empty());
        entryVm.send(request)
                .whenComplete(
                        (response, error) -> {
                            if (response.outcome() == Outcome.DONE) {
                                completedStatements.increment();
                            }
                            sendNext(owner);
                        });
    }
}
