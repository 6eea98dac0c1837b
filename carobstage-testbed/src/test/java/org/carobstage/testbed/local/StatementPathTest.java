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

    private final LocalGroupFixture system = LocalGroupFixture.of(20);
    private final Proxy one = system.createProxy("one", new Quota(1, 5));
    private final Proxy two = system.createProxy("two", new Quota(1, 5));

    @BeforeEach
    void createTable() {
        system.runExpectingDone(one, "CREATE TABLE t (id INT)", NON_IDEMPOTENT_WRITE);
    }

    @Nested
    class Session {
        @Test
        void shouldReadOwnWriteAtReplicaWhenMovedToAnotherProxy() {
            Outcome.Done written =
                    system.runExpectingDone(one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE);
            system.clock().advance(Duration.ofMillis(100));

            Outcome.Done read = readOld(two, written);

            assertThat(read.rows()).containsExactly(List.of(7));
            assertThat(read.isReplica()).isTrue();
        }

        @Test
        void shouldReadOwnWriteAtPrimaryWhenReplicasAreBehind() {
            Outcome.Done before =
                    system.runExpectingDone(one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE);
            system.clock().advance(Duration.ofMillis(100));
            system.group().faultInjector().setIsolatedFromGroup(B, true);
            Outcome.Done written =
                    system.runExpectingDone(one, "INSERT INTO t VALUES (8)", NON_IDEMPOTENT_WRITE);
            system.group().faultInjector().setFrozen(C, true);
            system.clock().advance(Duration.ofMillis(100));
            system.group().faultInjector().setIsolatedFromGroup(B, false);

            Outcome.Done read = readOld(two, written);

            assertThat(before.logPosition()).isLessThan(written.logPosition());
            assertThat(read.rows()).contains(List.of(8));
        }
    }

    @Nested
    class CurrentRead {
        @Test
        void shouldNotAnswerWhenPrimaryWasReplacedUnnoticed() {
            system.group().faultInjector().setPartitioned(VmId.of("two"), B, true);
            system.group().faultInjector().setPartitioned(VmId.of("two"), C, true);
            system.group().faultInjector().setIsolatedFromGroup(A, true);

            Outcome read = system.runStatement(two, "SELECT * FROM t", CURRENT_READ, null);

            assertThat(read).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class LostAnswer {
        @Test
        void shouldAnswerFromRecordWhenAnswerWasLost() {
            system.group().faultInjector().dropNextResponses(1);

            Outcome outcome =
                    system.runStatement(
                            one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, null);

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldRunOnceWhenRetriedThroughAnotherProxyWithKey() {
            system.runStatement(one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, "filing-1");

            Outcome again =
                    system.runStatement(
                            two, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, "filing-1");

            assertThat(((Outcome.Done) again).isReplayed()).isTrue();
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldRunIdempotentWriteOnceWhenItArrivesLate() {
            system.group().faultInjector().dropNextResponses(2);

            Outcome outcome =
                    system.runStatement(one, "INSERT INTO t VALUES (7)", IDEMPOTENT_WRITE, null);

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldBeUnknownWhenPrimaryStaysSilentAndNoMajorityCanReplaceIt() {
            system.group().faultInjector().dropNextResponses(1);
            var pending =
                    system.startStatement(
                            one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, null, null);
            system.clock().advance(Duration.ofMillis(20));
            system.group().faultInjector().setFrozen(A, true);
            system.group().faultInjector().setFrozen(C, true);

            assertThat(system.await(pending)).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class Refusal {
        @Test
        void shouldNotRunWhenNoPrimaryIsReached() {
            for (InstanceId id : List.of(A, B, C)) {
                system.group().faultInjector().setPartitioned(VmId.of("three"), id, true);
            }

            Proxy three = system.createProxy("three", new Quota(1, 5));

            Outcome outcome =
                    system.runStatement(
                            three, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, null);

            assertThat(outcome).isInstanceOf(Outcome.NotRun.class);
            assertThat(rows()).isEmpty();
        }

        @Test
        void shouldRefuseWhenKeyIsReusedForAnotherStatement() {
            system.runStatement(one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, "filing-1");

            Outcome outcome =
                    system.runStatement(
                            one, "INSERT INTO t VALUES (8)", NON_IDEMPOTENT_WRITE, "filing-1");

            assertThat(((Outcome.NotRun) outcome).code()).isEqualTo(ErrorCode.KEY_REUSED);
        }
    }

    @Nested
    class Replacement {
        @Test
        void shouldStopWaitingWhenPrimaryWasReplaced() {
            system.runStatement(one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, null);
            system.group().faultInjector().setFrozen(A, true);
            long start = system.clock().nanoTime();

            Outcome outcome =
                    system.runStatement(
                            one, "INSERT INTO t VALUES (8)", NON_IDEMPOTENT_WRITE, "filing-2");

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(Duration.ofNanos(system.clock().nanoTime() - start))
                    .isLessThan(Duration.ofSeconds(1));
        }

        @Test
        void shouldMovePrimaryWhenOperatorOrdersIt() {
            Configuration now = new Configuration(Map.of(), Map.of(GROUP, system.group().spec()));

            one.apply(now.withRequestedPrimary(GROUP, C));
            system.clock().advance(Duration.ofMillis(300));

            Outcome.Done written =
                    system.runExpectingDone(one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE);
            assertThat(written.instance()).isEqualTo(C);
        }

        @Test
        void shouldGiveNoNewWorkWhenInstanceIsLeaving() {
            one.group(GROUP).orElseThrow().setDraining(Set.of(A));
            two.group(GROUP).orElseThrow().setDraining(Set.of(A));
            system.clock().advance(Duration.ofSeconds(3));

            Outcome.Done written =
                    system.runExpectingDone(one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE);
            Outcome.Done read = readOld(two, written);

            assertThat(written.instance()).isNotEqualTo(A);
            assertThat(read.instance()).isNotEqualTo(A);
        }
    }

    @Nested
    class LookUp {
        @Test
        void shouldTellWhatBecameOfWriteWhenAskedByKey() {
            system.runStatement(one, "INSERT INTO t VALUES (7)", NON_IDEMPOTENT_WRITE, "filing-1");

            Outcome known = system.await(two.lookUpOutcome(SERVICE, GROUP, key("filing-1")));
            Outcome unknown = system.await(two.lookUpOutcome(SERVICE, GROUP, key("filing-2")));

            assertThat(known).isInstanceOf(Outcome.Done.class);
            assertThat(unknown).isInstanceOf(Outcome.Unknown.class);
        }
    }

    private List<List<Object>> rows() {
        return system.runExpectingDone(two, "SELECT * FROM t", CURRENT_READ).rows();
    }

    private Outcome.Done readOld(Proxy proxy, Outcome.Done written) {
        SessionPositions session =
                SessionPositions.empty().withPosition(GROUP, written.logPosition());
        return (Outcome.Done)
                system.await(
                        system.startStatement(
                                proxy, "SELECT id FROM t", BOUNDED_STALENESS_READ, null, session));
    }

    private static IdempotencyKey key(String text) {
        return IdempotencyKey.of(text);
    }
}
