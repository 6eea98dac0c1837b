package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;
import static org.carobstage.testbed.local.LocalSystem.CURRENT;
import static org.carobstage.testbed.local.LocalSystem.GROUP;
import static org.carobstage.testbed.local.LocalSystem.IDEMPOTENT;
import static org.carobstage.testbed.local.LocalSystem.OLD;
import static org.carobstage.testbed.local.LocalSystem.ONCE;
import static org.carobstage.testbed.local.LocalSystem.SERVICE;

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
import org.carobstage.pool.Share;
import org.carobstage.session.SessionPositions;
import org.carobstage.statement.Outcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StatementPathTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final InstanceId C = InstanceId.of("c");

    private final LocalSystem system = LocalSystem.of(20);
    private final Proxy one = system.proxy("one", new Share(1, 5));
    private final Proxy two = system.proxy("two", new Share(1, 5));

    @BeforeEach
    void createTable() {
        system.done(one, "CREATE TABLE t (id INT)", ONCE);
    }

    @Nested
    class Session {
        @Test
        void shouldReadOwnWriteAtReplicaWhenMovedToAnotherProxy() {
            Outcome.Done written = system.done(one, "INSERT INTO t VALUES (7)", ONCE);
            system.clock().advance(Duration.ofMillis(100));

            Outcome.Done read = readOld(two, written);

            assertThat(read.rows()).containsExactly(List.of(7));
            assertThat(read.replica()).isTrue();
        }

        @Test
        void shouldReadOwnWriteAtPrimaryWhenReplicasAreBehind() {
            Outcome.Done before = system.done(one, "INSERT INTO t VALUES (7)", ONCE);
            system.clock().advance(Duration.ofMillis(100));
            system.group().faults().cut(B, true);
            Outcome.Done written = system.done(one, "INSERT INTO t VALUES (8)", ONCE);
            system.group().faults().freeze(C, true);
            system.clock().advance(Duration.ofMillis(100));
            system.group().faults().cut(B, false);

            Outcome.Done read = readOld(two, written);

            assertThat(before.seen()).isLessThan(written.seen());
            assertThat(read.rows()).contains(List.of(8));
        }
    }

    @Nested
    class CurrentRead {
        @Test
        void shouldNotAnswerWhenPrimaryWasReplacedUnnoticed() {
            system.group().faults().sever(VmId.of("two"), B, true);
            system.group().faults().sever(VmId.of("two"), C, true);
            system.group().faults().cut(A, true);

            Outcome read = system.run(two, "SELECT * FROM t", CURRENT, null);

            assertThat(read).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class LostAnswer {
        @Test
        void shouldAnswerFromRecordWhenAnswerWasLost() {
            system.group().faults().loseAnswers(1);

            Outcome outcome = system.run(one, "INSERT INTO t VALUES (7)", ONCE, null);

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldRunOnceWhenRetriedThroughAnotherProxyWithKey() {
            system.run(one, "INSERT INTO t VALUES (7)", ONCE, "filing-1");

            Outcome again = system.run(two, "INSERT INTO t VALUES (7)", ONCE, "filing-1");

            assertThat(((Outcome.Done) again).replayed()).isTrue();
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldRunIdempotentWriteOnceWhenItArrivesLate() {
            system.group().faults().loseAnswers(2);

            Outcome outcome = system.run(one, "INSERT INTO t VALUES (7)", IDEMPOTENT, null);

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(rows()).containsExactly(List.of(7));
        }

        @Test
        void shouldBeUnknownWhenPrimaryStaysSilentAndNoMajorityCanReplaceIt() {
            system.group().faults().loseAnswers(1);
            var pending = system.start(one, "INSERT INTO t VALUES (7)", ONCE, null, null);
            system.clock().advance(Duration.ofMillis(20));
            system.group().faults().freeze(A, true);
            system.group().faults().freeze(C, true);

            assertThat(system.await(pending)).isInstanceOf(Outcome.Unknown.class);
        }
    }

    @Nested
    class Refusal {
        @Test
        void shouldNotRunWhenNoPrimaryIsReached() {
            for (InstanceId id : List.of(A, B, C)) {
                system.group().faults().sever(VmId.of("three"), id, true);
            }

            Proxy three = system.proxy("three", new Share(1, 5));

            Outcome outcome = system.run(three, "INSERT INTO t VALUES (7)", ONCE, null);

            assertThat(outcome).isInstanceOf(Outcome.NotRun.class);
            assertThat(rows()).isEmpty();
        }

        @Test
        void shouldRefuseWhenKeyIsReusedForAnotherStatement() {
            system.run(one, "INSERT INTO t VALUES (7)", ONCE, "filing-1");

            Outcome outcome = system.run(one, "INSERT INTO t VALUES (8)", ONCE, "filing-1");

            assertThat(((Outcome.NotRun) outcome).code()).isEqualTo(ErrorCode.KEY_REUSED);
        }
    }

    @Nested
    class Replacement {
        @Test
        void shouldStopWaitingWhenPrimaryWasReplaced() {
            system.run(one, "INSERT INTO t VALUES (7)", ONCE, null);
            system.group().faults().freeze(A, true);
            long start = system.clock().nanoTime();

            Outcome outcome = system.run(one, "INSERT INTO t VALUES (8)", ONCE, "filing-2");

            assertThat(outcome).isInstanceOf(Outcome.Done.class);
            assertThat(Duration.ofNanos(system.clock().nanoTime() - start))
                    .isLessThan(Duration.ofSeconds(1));
        }

        @Test
        void shouldMovePrimaryWhenOperatorOrdersIt() {
            Configuration now = new Configuration(Map.of(), Map.of(GROUP, system.group().spec()));

            one.apply(now.withPrimary(GROUP, C));
            system.clock().advance(Duration.ofMillis(300));

            Outcome.Done written = system.done(one, "INSERT INTO t VALUES (7)", ONCE);
            assertThat(written.instance()).isEqualTo(C);
        }

        @Test
        void shouldGiveNoNewWorkWhenInstanceIsLeaving() {
            one.group(GROUP).orElseThrow().drain(Set.of(A));
            two.group(GROUP).orElseThrow().drain(Set.of(A));
            system.clock().advance(Duration.ofSeconds(3));

            Outcome.Done written = system.done(one, "INSERT INTO t VALUES (7)", ONCE);
            Outcome.Done read = readOld(two, written);

            assertThat(written.instance()).isNotEqualTo(A);
            assertThat(read.instance()).isNotEqualTo(A);
        }
    }

    @Nested
    class LookUp {
        @Test
        void shouldTellWhatBecameOfWriteWhenAskedByKey() {
            system.run(one, "INSERT INTO t VALUES (7)", ONCE, "filing-1");

            Outcome known = system.await(two.lookUp(SERVICE, GROUP, key("filing-1")));
            Outcome unknown = system.await(two.lookUp(SERVICE, GROUP, key("filing-2")));

            assertThat(known).isInstanceOf(Outcome.Done.class);
            assertThat(unknown).isInstanceOf(Outcome.Unknown.class);
        }
    }

    private List<List<Object>> rows() {
        return system.done(two, "SELECT * FROM t", CURRENT).rows();
    }

    private Outcome.Done readOld(Proxy proxy, Outcome.Done written) {
        SessionPositions session = SessionPositions.empty().seen(GROUP, written.seen());
        return (Outcome.Done)
                system.await(system.start(proxy, "SELECT id FROM t", OLD, null, session));
    }

    private static IdempotencyKey key(String text) {
        return IdempotencyKey.of(text);
    }
}
