package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobstage.freshness.ClockReading;
import org.carobstage.freshness.PositionQuorum;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReadIndexServiceTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final InstanceId C = InstanceId.of("c");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final PositionQuorum quorum = PositionQuorum.of(confirmed -> false);
    private final FakeInstances instances = new FakeInstances();
    private final ReadIndexService service = new ReadIndexService(clock, quorum, instances);
    private final List<LogPosition> positions = new ArrayList<>();
    private final List<String> rejections = new ArrayList<>();

    @BeforeEach
    void reportOnce() {
        List.of(A, B, C).forEach(id -> quorum.add(id, now()));
        List.of(A, B, C).forEach(id -> quorum.report(id, LogPosition.of(1, 5), now(), id == A));
        advanceMillis(10);
    }

    @Test
    void shouldServeAllWaitingReadsWithOneRound() {
        request(false);
        request(false);
        instances.respond(A);
        instances.respond(B);

        assertThat(positions).hasSize(2);
        assertThat(instances.queried).containsExactly(A, B);
    }

    @Test
    void shouldStartAnotherRoundForReadsThatArrivedDuringOne() {
        request(false);
        advanceMillis(2);
        request(false);
        instances.respond(A);
        instances.respond(B);

        assertThat(positions).hasSize(1);
        assertThat(instances.queried).containsExactly(A, B, A, B);
    }

    @Test
    void shouldQueryRemainingInstanceWhenOneDoesNotRespond() {
        request(false);
        instances.respond(B);
        advanceMillis(100);
        instances.respond(C);

        assertThat(instances.queried).containsExactly(A, B, C);
        assertThat(positions).hasSize(1);
    }

    @Test
    void shouldNotQueryPrimaryWhenCallerDoes() {
        request(true);
        assertThat(instances.queried).containsExactly(B);
        instances.respond(B);
        quorum.report(A, LogPosition.of(1, 6), now(), true);
        service.completeReads();

        assertThat(positions).containsExactly(LogPosition.of(1, 6));
    }

    @Test
    void shouldQueryPrimaryAtOnceWhenReadJoinsRoundWithoutIt() {
        request(true);
        request(false);

        assertThat(instances.queried).containsExactly(B, A);
    }

    @Test
    void shouldRejectAtOnceWhenTooFewInstancesRespond() {
        instances.responding = List.of(A);
        request(false);

        assertThat(rejections).hasSize(1);
        assertThat(rejections.get(0)).contains("retry after");
        assertThat(instances.queried).isEmpty();
    }

    @Test
    void shouldStartAnotherRoundWhenNoneResponds() {
        request(false);
        advanceMillis(310);

        assertThat(instances.queried).containsExactly(A, B, C, A, B);
    }

    private void request(boolean primaryQueried) {
        service.request(
                now(),
                clock.nanoTime() + Duration.ofSeconds(1).toNanos(),
                primaryQueried,
                observed -> positions.add(observed.position()),
                rejections::add);
    }

    private ClockReading now() {
        return ClockReading.now(clock);
    }

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    /** Instances whose responses the test decides; a is the primary. */
    private final class FakeInstances implements ReadIndexService.Instances {
        private final List<InstanceId> queried = new ArrayList<>();
        private final List<Query> pending = new ArrayList<>();
        private List<InstanceId> responding = List.of(A, B, C);

        @Override
        public Optional<InstanceId> primary() {
            return responding.stream().filter(A::equals).findFirst();
        }

        @Override
        public List<InstanceId> byPreference() {
            return responding;
        }

        @Override
        public Runnable queryStatus(InstanceId instance, long deadlineNanos, Runnable onEnded) {
            queried.add(instance);
            pending.add(new Query(instance, now(), onEnded));
            return () -> {};
        }

        private void respond(InstanceId id) {
            Query query =
                    pending.stream().filter(q -> q.instance().equals(id)).findFirst().orElseThrow();
            pending.remove(query);
            quorum.report(id, LogPosition.of(1, 6), query.requestedAt(), id.equals(A));
            query.onEnded().run();
        }
    }

    private record Query(InstanceId instance, ClockReading requestedAt, Runnable onEnded) {}
}
