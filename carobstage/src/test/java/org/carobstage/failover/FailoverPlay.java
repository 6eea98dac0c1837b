package org.carobstage.failover;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/** One schedule of faults, played against processes that all write. */
final class FailoverPlay {
    private static final Logger EVENTS = Logger.getLogger("org.carobstage.events");
    private static final int WRITE_INTERVAL_MILLIS = 100;

    final FailoverFixture fixture;
    private final int[] acknowledged;

    FailoverPlay(boolean fencing, int processCount) {
        fixture = new FailoverFixture(fencing, processCount);
        fixture.service.ignoreFencingTokens(!fencing);
        fixture.service.keepFormerPrimary(!fencing);
        acknowledged = new int[processCount];
    }

    /**
     * Plays every n-th schedule without logging events, and prints how many were played.
     *
     * @param player returns the violated guarantee, or an empty text
     * @return the schedules that violate a guarantee
     */
    static <T> List<String> explore(List<T> schedules, int stride, Function<T, String> player) {
        Level level = EVENTS.getLevel();
        EVENTS.setLevel(Level.OFF);
        try {
            int count = (schedules.size() + stride - 1) / stride;
            System.out.println("exploring " + count + " of " + schedules.size() + " schedules");
            return IntStream.range(0, count)
                    .parallel()
                    .mapToObj(i -> schedules.get(i * stride))
                    .flatMap(s -> describe(s, player.apply(s)))
                    .toList();
        } finally {
            EVENTS.setLevel(level);
        }
    }

    private static <T> Stream<String> describe(T schedule, String violation) {
        return Stream.of(violation).filter(v -> !v.isEmpty()).map(v -> schedule + ": " + v);
    }

    /** Advances while every process writes. */
    void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += WRITE_INTERVAL_MILLIS) {
            IntStream.range(0, acknowledged.length)
                    .forEach(i -> fixture.processes.get(i).write(() -> acknowledged[i]++));
            fixture.advanceMillis(Math.min(WRITE_INTERVAL_MILLIS, millis - elapsed));
        }
    }

    void drainPrimary() {
        FakeInstance draining = fixture.instance("a").drain();
        fixture.processes.forEach(p -> p.group.put(draining.instanceEntry()));
    }

    void cut(int process, String instance) {
        fixture.processes.get(process).unreachable.add(InstanceId.of(instance));
    }

    void endFaults() {
        fixture.service.instances().forEach(FakeInstance::recover);
        fixture.service.instances().forEach(i -> i.setReplicationBlocked(false));
        fixture.service.dropPromotionResponses(false);
        fixture.service.delayPromotions(Duration.ZERO);
        fixture.processes.forEach(p -> p.unreachable.clear());
        fixture.processes.forEach(p -> p.storeClient.setReachable(true));
    }

    /** Lets the service recover from its faults, and returns the violated guarantee or "". */
    String findViolationAfter(long recoveryMillis) {
        advance(recoveryMillis);
        int[] before = acknowledged.clone();
        advance(2_000);
        return Stream.of(
                        Stream.of(fixture.service.violations())
                                .filter(v -> !v.isEmpty())
                                .map(List::toString),
                        fixture.service.instances().stream()
                                .filter(i -> !i.replicationPauseTerm().equals(Term.ZERO))
                                .map(i -> i.id() + " is still paused"),
                        IntStream.range(0, before.length)
                                .filter(i -> acknowledged[i] == before[i])
                                .mapToObj(i -> "process " + i + " cannot write"))
                .flatMap(Function.identity())
                .findFirst()
                .orElse("");
    }
}
