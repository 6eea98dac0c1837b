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
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final List<Replica> replicas = List.of(replica("a"), replica("b"), replica("c"));
    private final QuorumConfirmer confirmer =
            QuorumConfirmer.of(
                    List.copyOf(replicas),
                    clock,
                    BoundedExecutor.inline(),
                    (status, requestedAt) -> {});

    @Nested
    class Confirm {
        @Test
        void shouldConfirmWhenOneReplicaHoldsPosition() {
            replicas.get(1).setStatus(3, 3, 10);

            assertThat(confirm(3, 10)).isCompletedWithValue(true);
        }

        @Test
        void shouldReturnFalseAtOnceWhenBothReplicasHavePromisedHigherTerm() {
            replicas.get(1).setStatus(4, 3, 10);
            replicas.get(2).setStatus(4, 4, 11);

            assertThat(confirm(3, 10)).isCompletedWithValue(false);
        }

        @Test
        void shouldReturnFalseWhenPatienceEndsBeforeAnyReplicaHoldsPosition() {
            CompletionStage<Boolean> result = confirm(3, 10);
            assertThat(result.toCompletableFuture()).isNotDone();

            clock.advance(PATIENCE);

            assertThat(result).isCompletedWithValue(false);
        }

        @Test
        void shouldReturnFalseWhenReplicaLogsEndInAnotherTerm() {
            replicas.get(1).setStatus(3, 2, 99);
            replicas.get(2).setStatus(2, 2, 99);
            CompletionStage<Boolean> result = confirm(3, 10);
            clock.advance(PATIENCE);

            assertThat(result).isCompletedWithValue(false);
        }

        @Test
        void shouldRequestStatusAgainWhenResponseIsReadAfterPause() {
            replicas.get(1).setStatus(3, 3, 10);
            CompletableFuture<Boolean> result =
                    confirmer.confirm(A, position(3, 10), PATIENCE).toCompletableFuture();
            replicas.get(1).readDelay = Duration.ofMillis(500);
            replicas.get(2).readDelay = Duration.ofMillis(500);
            clock.advance(ONE_WAY_DELAY);
            replicas.get(1).setStatus(4, 3, 10);
            replicas.get(2).setStatus(4, 3, 10);
            clock.advance(ONE_WAY_DELAY.multipliedBy(2));
            replicas.forEach(replica -> replica.readDelay = Duration.ZERO);
            clock.advance(Duration.ofSeconds(1));

            assertThat(result).isCompletedWithValue(false);
        }

        @Test
        void shouldShareStatusRequestsWhenManyWritesWait() {
            int writes = 1_000;
            List<CompletableFuture<Boolean>> results = new ArrayList<>();
            for (int i = 1; i <= writes; i++) {
                replicas.forEach(r -> r.setStatus(3, 3, results.size()));
                results.add(confirmer.confirm(A, position(3, i), PATIENCE).toCompletableFuture());
                clock.advance(Duration.ofMillis(i % 10 == 0 ? 1 : 0));
            }
            replicas.forEach(r -> r.setStatus(3, 3, writes));
            clock.advance(Duration.ofMillis(200));

            assertThat(results).allMatch(r -> r.isDone() && r.join());
            int statusRequestCount = replicas.stream().mapToInt(r -> r.statusRequestCount).sum();
            assertThat(statusRequestCount).isLessThan(writes / 4);
        }
    }

    private CompletionStage<Boolean> confirm(long term, long offset) {
        CompletionStage<Boolean> result = confirmer.confirm(A, position(term, offset), PATIENCE);
        clock.advance(ONE_WAY_DELAY.multipliedBy(2));
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

    /** A replica whose status the test sets and whose responses may be read late. */
    private final class Replica implements Backend {
        private final InstanceSpec spec;
        private ReplicationStatus status;
        private Duration readDelay = Duration.ZERO;
        private int statusRequestCount;

        private Replica(InstanceSpec spec) {
            this.spec = spec;
            setStatus(3, 3, 0);
        }

        private void setStatus(long promisedTerm, long lastTerm, long offset) {
            LogPosition last = LogPosition.of(lastTerm, offset);
            status = new ReplicationStatus(spec.id(), Term.of(promisedTerm), false, last, 0);
        }

        @Override
        public InstanceSpec spec() {
            return spec;
        }

        @Override
        public CompletionStage<Optional<ReplicationStatus>> fetchStatus(
                LogPosition minLogPosition, Duration wait, Duration timeout) {
            statusRequestCount++;
            CompletableFuture<Optional<ReplicationStatus>> response = new CompletableFuture<>();
            poll(response, minLogPosition, clock.nanoTime() + wait.toNanos());
            return response;
        }

        private void poll(
                CompletableFuture<Optional<ReplicationStatus>> response,
                LogPosition minLogPosition,
                long deadlineNanos) {
            clock.schedule(
                    () -> {
                        if (status.lastPosition().isAtLeast(minLogPosition)
                                || clock.nanoTime() - deadlineNanos >= 0) {
                            ReplicationStatus current = status;
                            Runnable deliver = () -> response.complete(Optional.of(current));
                            clock.schedule(() -> clock.schedule(deliver, readDelay), ONE_WAY_DELAY);
                        } else {
                            poll(response, minLogPosition, deadlineNanos);
                        }
                    },
                    ONE_WAY_DELAY);
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
