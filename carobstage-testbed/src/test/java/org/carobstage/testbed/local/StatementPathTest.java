package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;
import static org.carobstage.testbed.local.LocalGroupFixture.BOUNDED_STALENESS_READ;
import static org.carobstage.testbed.local.LocalGroupFixture.CURRENT_READ;
import static org.carobstage.testbed.local.LocalGroupFixture.GROUP;
import static org.carobstage.testbed.local.LocalGroupFixture.IDEMPOTENT_WRITE;
import static org.carobstage.testbed.local.LocalGroupFixture.NON_IDEMPOTENT_WRITE;
import static org.carobstage.testbed.local.LocalGroupFixture.SERVICE;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobstage.config.Configuration;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Quota;
import org.carobstage.session.SessionPositions;
import org.carobstage.statement.Outcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StatementPathTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final InstanceId C = InstanceId.of("c");

    private final LocalGroupFixture fixture = LocalGroupFixture.of(20);
    private final Proxy proxyOne = fixture.createProxy("one", new Quota(1, 5));
    private final Proxy proxyTwo = fixture.createProxy("two", new Quota(1, 5));

    @BeforeEach
    void createTable() {
        fixture.runExpectingDone(proxyOne, "CREATE TABLE t (id INT)", NON_IDEMPOTENT_WRITE);
    }

    @Nested
    class Session {
        @Test
        void shouldReadOwnWriteAtReplicaWhenSessionMovesToAnotherProxy() {
            Outcome.Done written =
                    fixture.runExpectingDone(
                            proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE);
            fixture.clock().advance(Duration.ofMillis(100));

            Outcome.Done read = readWithBoundedStaleness(proxyTwo, written);

            assertThat(read.rows()).containsExactly(List.of(7));
            assertThat(read.isReplica()).isTrue();
        }

        @Test
        void shouldReadOwnWriteAtPrimaryWhenReplicasAreBehind() {
            Outcome.Done before =
                    fixture.runExpectingDone(
                            proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE);
            fixture.clock().advance(Duration.ofMillis(100));
            fixture.group().faultInjector().setIsolatedFromGroup(B, true);
            Outcome.Done written =
                    fixture.runExpectingDone(
                            proxyOne, "INSERT INTO t VALUES (8)", NON_IDEMPOTENT_WRITE);
            fixture.group().faultInjector().setFrozen(C, true);
            fixture.clock().advance(Duration.ofMillis(100));
            fixture.group().faultInjector().setIsolatedFromGroup(B, false);

            Outcome.Done read = readWithBoundedStaleness(proxyTwo, written);

            assertThat(before.logPosition()).isLessThan(written.logPosition());
            assertThat(read.rows()).contains(List.of(8));
        }
    }

    @Nested
    class CurrentRead {
        @Test
        void shouldReturnUnknownWhenProxyHasNotSeenNewPrimary() {
            fixture.group().faultInjector().setPartitioned(VmId.of("two"), B, true);
            fixture.group().faultInjector().setPartitioned(VmId.of("two"), C, true);
            fixture.group().faultInjector().setIsolatedFromGroup(A, true);

            Outcome read = fixture.runStatement(proxyTwo, "SELECT * FROM t", CURRENT_READ, null);

            assertThat(read).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class LostResponse {
        @Test
        void shouldReturnRecordedOutcomeWhenResponseIsLost() {
            fixture.group().faultInjector().dropNextResponses(1);

            Outcome outcome =
                    fixture.runStatement(
                            proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, null);

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldExecuteOnceWhenRetriedWithKeyThroughAnotherProxy() {
            fixture.runStatement(
                    proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, "filing-1");

            Outcome retried =
                    fixture.runStatement(
                            proxyTwo, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, "filing-1");

            assertThat(((Outcome.Done) retried).isReplayed()).isTrue();
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldExecuteIdempotentWriteOnceWhenTwoResponsesAreLost() {
            fixture.group().faultInjector().dropNextResponses(2);

            Outcome outcome =
                    fixture.runStatement(
                            proxyOne, "INSERT INTO t VALUES (7)", IDEMPOTENT_WRITE, null);

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldReturnUnknownWhenPrimaryIsFrozenAndNoMajorityRemains() {
            fixture.group().faultInjector().dropNextResponses(1);
            var pending =
                    fixture.startStatement(
                            proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, null, null);
            fixture.clock().advance(Duration.ofMillis(20));
            fixture.group().faultInjector().setFrozen(A, true);
            fixture.group().faultInjector().setFrozen(C, true);

            assertThat(fixture.await(pending)).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class Refusal {
        @Test
        void shouldReturnNotRunWhenNoPrimaryIsReachable() {
            for (InstanceId id : List.of(A, B, C)) {
                fixture.group().faultInjector().setPartitioned(VmId.of("three"), id, true);
            }

            Proxy proxyThree = fixture.createProxy("three", new Quota(1, 5));

            Outcome outcome =
                    fixture.runStatement(
                            proxyThree, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, null);

            assertThat(outcome).isInstanceOf(Outcome.NotRun.class);
            assertThat(rows()).isEmpty();
        }

        @Test
        void shouldRefuseWhenKeyIsReusedForAnotherStatement() {
            fixture.runStatement(
                    proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, "filing-1");

            Outcome outcome =
                    fixture.runStatement(
                            proxyOne, "INSERT INTO t VALUES (8)", NON_IDEMPOTENT_WRITE, "filing-1");

            assertThat(((Outcome.NotRun) outcome).code()).isEqualTo(ErrorCode.KEY_REUSED);
        }
    }

    @Nested
    class PrimaryChange {
        @Test
        void shouldStopWaitingForFrozenPrimaryWhenItIsReplaced() {
            fixture.runStatement(proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, null);
            fixture.group().faultInjector().setFrozen(A, true);
            long start = fixture.clock().nanoTime();

            Outcome outcome =
                    fixture.runStatement(
                            proxyOne, "INSERT INTO t VALUES (8)", NON_IDEMPOTENT_WRITE, "filing-2");

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(Duration.ofNanos(fixture.clock().nanoTime() - start))
                    .isLessThan(Duration.ofSeconds(1));
        }

        @Test
        void shouldSwitchPrimaryWhenOperatorRequestsIt() {
            Configuration configuration =
                    new Configuration(Map.of(), Map.of(GROUP, fixture.group().spec()));

            proxyOne.apply(configuration.withRequestedPrimary(GROUP, C));
            fixture.clock().advance(Duration.ofMillis(300));

            Outcome.Done written =
                    fixture.runExpectingDone(
                            proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE);
            assertThat(written.instance()).isEqualTo(C);
        }

        @Test
        void shouldSendNoNewStatementsWhenInstanceIsDraining() {
            proxyOne.group(GROUP).orElseThrow().setDraining(Set.of(A));
            proxyTwo.group(GROUP).orElseThrow().setDraining(Set.of(A));
            fixture.clock().advance(Duration.ofSeconds(3));

            Outcome.Done written =
                    fixture.runExpectingDone(
                            proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE);
            Outcome.Done read = readWithBoundedStaleness(proxyTwo, written);

            assertThat(written.instance()).isNotEqualTo(A);
            assertThat(read.instance()).isNotEqualTo(A);
        }
    }

    @Nested
    class LookUp {
        @Test
        void shouldReturnOutcomeOfWriteWhenLookedUpByKey() {
            fixture.runStatement(
                    proxyOne, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, "filing-1");

            Outcome recorded =
                    fixture.await(proxyTwo.lookUpOutcome(SERVICE, GROUP, key("filing-1")));
            Outcome unrecorded =
                    fixture.await(proxyTwo.lookUpOutcome(SERVICE, GROUP, key("filing-2")));

            assertThat(recorded).isInstanceOf(Outcome.Done.class);
            assertThat(unrecorded).isInstanceOf(Outcome.Unknown.class);
        }
    }

    private List<List<Object>> rows() {
        return fixture.runExpectingDone(proxyTwo, "SELECT * FROM t", CURRENT_READ).rows();
    }

    private Outcome.Done readWithBoundedStaleness(Proxy proxy, Outcome.Done written) {
        SessionPositions session =
                SessionPositions.empty().withPosition(GROUP, written.logPosition());
        return (Outcome.Done)
                fixture.await(
                        fixture.startStatement(
                                proxy, "SELECT id FROM t", BOUNDED_STALENESS_READ, null, session));
    }

    private static IdempotencyKey key(String text) {
        return IdempotencyKey.of(text);
    }
}
