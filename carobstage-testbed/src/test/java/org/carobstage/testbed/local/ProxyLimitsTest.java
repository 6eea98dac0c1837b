package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;
import static org.carobstage.testbed.local.LocalGroupFixture.GROUP;
import static org.carobstage.testbed.local.LocalGroupFixture.NON_IDEMPOTENT_WRITE;
import static org.carobstage.testbed.local.LocalGroupFixture.SERVICE;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.error.ErrorCode;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Quota;
import org.carobstage.statement.Outcome;
import org.carobstage.transaction.BeginResult;
import org.carobstage.transaction.TransactionId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ProxyLimitsTest {
    private static final RequestPolicy SHORT_PATIENCE_READ =
            new RequestPolicy(Access.READ, Duration.ZERO, true, Duration.ofMillis(50));

    private final LocalGroupFixture fixture = LocalGroupFixture.of(20);

    @Nested
    class Run {
        @Test
        void shouldRefuseAtOnceWithRetryAfterWhenWaitExceedsPatience() {
            Proxy proxy = fixture.createProxy("one", new Quota(1, 5));
            IntStream.range(0, 20)
                    .forEach(
                            i ->
                                    fixture.runStatement(
                                            proxy, "SELECT 1", SHORT_PATIENCE_READ, null));

            List<CompletableFuture<Outcome>> outcomes =
                    IntStream.range(0, 100)
                            .mapToObj(
                                    i ->
                                            fixture.startStatement(
                                                    proxy,
                                                    "SELECT 1",
                                                    SHORT_PATIENCE_READ,
                                                    null,
                                                    null))
                            .toList();

            List<Outcome.NotRun> refused =
                    outcomes.stream()
                            .filter(CompletableFuture::isDone)
                            .map(outcome -> (Outcome.NotRun) outcome.join())
                            .toList();
            assertThat(refused).hasSizeBetween(60, 90);
            assertThat(refused).allMatch(r -> r.code() == ErrorCode.OVERLOADED);
            assertThat(refused).allMatch(r -> r.retryAfter().isPresent());
            fixture.clock().advance(Duration.ofMillis(100));
            assertThat(outcomes).allMatch(CompletableFuture::isDone);
        }
    }

    @Nested
    class Transaction {
        @Test
        void shouldReleaseSlotWhenIdleBetweenStatements() {
            Proxy proxy = fixture.createProxy("one", new Quota(1, 5));
            fixture.runExpectingDone(proxy, "CREATE TABLE t (id INT)", NON_IDEMPOTENT_WRITE);
            TransactionId first = begin(proxy);
            TransactionId second = begin(proxy);

            Outcome outsideTransaction =
                    fixture.runStatement(proxy, "SELECT 1", SHORT_PATIENCE_READ, null);
            List<Outcome> outcomes =
                    List.of(
                            insert(proxy, first, 1),
                            insert(proxy, second, 2),
                            commit(proxy, first),
                            commit(proxy, second));

            assertThat(outsideTransaction).isInstanceOf(Outcome.Done.class);
            assertThat(outcomes).allMatch(outcome -> outcome instanceof Outcome.Done);
        }

        private TransactionId begin(Proxy proxy) {
            return ((BeginResult.Begun)
                            fixture.await(
                                    proxy.beginTransaction(SERVICE, GROUP, NON_IDEMPOTENT_WRITE)))
                    .id();
        }

        private Outcome insert(Proxy proxy, TransactionId id, int value) {
            String sql = "INSERT INTO t VALUES (" + value + ")";
            return fixture.await(
                    proxy.withTransactions(t -> t.execute(id, SERVICE, sql, List.of())));
        }

        private Outcome commit(Proxy proxy, TransactionId id) {
            return fixture.await(
                    proxy.withTransactions(t -> t.commit(id, SERVICE, Optional.empty())));
        }
    }
}
