package org.carobstage.acknowledge;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.carobstage.backend.Backend;
import org.carobstage.backend.BackendConnection;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QuorumConfirmerTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final Duration WAY = Duration.ofMillis(1);

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final List<Replica> replicas = List.of(replica("a"), replica("b"), replica("c"));
    private final QuorumConfirmer confirmation =
            QuorumConfirmer.of(
                    List.copyOf(replicas), clock, BoundedExecutor.inline(), (standing, at) -> {});

    @Nested
    class Confirm {
        @Test
        void shouldBeTrueWhenOneReplicaHoldsThePosition() {
            replicas.get(1).stands(3, 3, 10);

            assertThat(confirm(3, 10)).isCompletedWithValue(true);
        }

        @Test
        void shouldBeFalseAtOnceWhenBothReplicasHavePromisedAHigherTerm() {
            replicas.get(1).stands(4, 3, 10);
            replicas.get(2).stands(4, 4, 11);

            assertThat(confirm(3, 10)).isCompletedWithValue(false);
        }

        @Test
        void shouldBeFalseWhenPatienceEndsBeforeAnyReplicaHoldsThePosition() {
            CompletionStage<Boolean> result = confirm(3, 10);
            assertThat(result.toCompletableFuture()).isNotDone();

            clock.advance(PATIENCE);

            assertThat(result).isCompletedWithValue(false);
        }

        @Test
        void shouldNotTakeTheEndOfAnotherTermsLogForThePosition() {
            replicas.get(1).stands(3, 2, 99);
            replicas.get(2).stands(2, 2, 99);
            CompletionStage<Boolean> result = confirm(3, 10);
            clock.advance(PATIENCE);

            assertThat(result).isCompletedWithValue(false);
        }

        @Test
        void shouldAskAgainWhenTheAnswerWasReadAfterAPause() {
            replicas.get(1).stands(3, 3, 10);
            CompletableFuture<Boolean> result =
                    confirmation.confirm(A, position(3, 10), PATIENCE).toCompletableFuture();
            replicas.get(1).late = Duration.ofMillis(500);
            replicas.get(2).late = Duration.ofMillis(500);
            clock.advance(WAY);
            replicas.get(1).stands(4, 3, 10);
            replicas.get(2).stands(4, 3, 10);
            clock.advance(WAY.multipliedBy(2));
            replicas.forEach(replica -> replica.late = Duration.ZERO);
            clock.advance(Duration.ofSeconds(1));

            assertThat(result).isCompletedWithValue(false);
        }

        @Test
        void shouldShareExchangesWhenManyWritesWait() {
            int writes = 1_000;
            List<CompletableFuture<Boolean>> results = new ArrayList<>();
            for (int i = 1; i <= writes; i++) {
                replicas.forEach(r -> r.stands(3, 3, results.size()));
                results.add(
                        confirmation.confirm(A, position(3, i), PATIENCE).toCompletableFuture());
                clock.advance(Duration.ofMillis(i % 10 == 0 ? 1 : 0));
            }
            replicas.forEach(r -> r.stands(3, 3, writes));
            clock.advance(Duration.ofMillis(200));

            assertThat(results).allMatch(r -> r.isDone() && r.join());
            int exchanges = replicas.stream().mapToInt(r -> r.exchanges).sum();
            assertThat(exchanges).isLessThan(writes / 4);
        }
    }

    private CompletionStage<Boolean> confirm(long term, long offset) {
        CompletionStage<Boolean> result = confirmation.confirm(A, position(term, offset), PATIENCE);
        clock.advance(WAY.multipliedBy(2));
        return result;
    }

    private static LogPosition position(long term, long offset) {
        return LogPosition.of(term, offset);
    }

    private Replica replica(String id) {
        return new Replica(
                new InstanceSpec(
                        InstanceId.of(id), Address.of("127.0.0.1", 1), FailureDomain.of("d")));
    }

    /** A replica whose standing the test sets; an answer may be read late. */
    private final class Replica implements Backend {
        private final InstanceSpec spec;
        private ReplicationStatus standing;
        private Duration late = Duration.ZERO;
        private int exchanges;

        private Replica(InstanceSpec spec) {
            this.spec = spec;
            stands(3, 3, 0);
        }

        private void stands(long promised, long lastTerm, long offset) {
            LogPosition last = LogPosition.of(lastTerm, offset);
            standing = new ReplicationStatus(spec.id(), Term.of(promised), false, last, 0);
        }

        @Override
        public InstanceSpec spec() {
            return spec;
        }

        @Override
        public CompletionStage<Optional<ReplicationStatus>> fetchStatus(
                LogPosition atLeast, Duration wait, Duration timeout) {
            exchanges++;
            CompletableFuture<Optional<ReplicationStatus>> answer = new CompletableFuture<>();
            poll(answer, atLeast, clock.nanoTime() + wait.toNanos());
            return answer;
        }

        private void poll(
                CompletableFuture<Optional<ReplicationStatus>> answer,
                LogPosition atLeast,
                long until) {
            clock.schedule(
                    () -> {
                        if (standing.lastPosition().isAtLeast(atLeast)
                                || clock.nanoTime() - until >= 0) {
                            ReplicationStatus now = standing;
                            Runnable read = () -> answer.complete(Optional.of(now));
                            clock.schedule(() -> clock.schedule(read, late), WAY);
                        } else {
                            poll(answer, atLeast, until);
                        }
                    },
                    WAY);
        }

        @Override
        public CompletionStage<BackendConnection> openConnection(Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Optional<ReplicationStatus>> promise(Term term, Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Optional<ReplicationStatus>> promote(Term term, Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Optional<ReplicationStatus>> follow(
                Term term, InstanceSpec primary, Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {
            // Nothing is held open.
        }
    }
}
