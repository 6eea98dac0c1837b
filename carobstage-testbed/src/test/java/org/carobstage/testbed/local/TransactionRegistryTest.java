package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;
import static org.carobstage.testbed.local.LocalGroupFixture.CURRENT_READ;
import static org.carobstage.testbed.local.LocalGroupFixture.GROUP;
import static org.carobstage.testbed.local.LocalGroupFixture.NON_IDEMPOTENT_WRITE;
import static org.carobstage.testbed.local.LocalGroupFixture.PATIENCE;
import static org.carobstage.testbed.local.LocalGroupFixture.SERVICE;

import java.util.List;
import java.util.Optional;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Quota;
import org.carobstage.statement.Outcome;
import org.carobstage.transaction.BeginResult;
import org.carobstage.transaction.TransactionId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TransactionRegistryTest {
    private final LocalGroupFixture fixture = LocalGroupFixture.of(2);
    private final Proxy proxy = fixture.createProxy("one", new Quota(2, 2));

    @BeforeEach
    void createTable() {
        fixture.runExpectingDone(proxy, "CREATE TABLE t (id INT)", NON_IDEMPOTENT_WRITE);
    }

    @Nested
    class Execute {
        @Test
        void shouldKeepTransactionsApartWhenCallersShareFewConnections() {
            TransactionId first = begin();
            TransactionId second = begin();
            execute(first, "INSERT INTO t VALUES (1)");
            execute(second, "INSERT INTO t VALUES (2)");
            fixture.await(proxy.withTransactions(t -> t.rollback(first, SERVICE)));

            commit(second);

            assertThat(rows()).containsExactly(List.of(2));
        }

        @Test
        void shouldRefuseWhenCallerOfAnotherServiceUsesTransaction() {
            TransactionId id = begin();
            ServiceName other = ServiceName.of("aftercare");

            Outcome outcome =
                    fixture.await(
                            proxy.withTransactions(
                                    t -> t.execute(id, other, "SELECT 1", List.of())));

            assertThat(((Outcome.NotRun) outcome).code()).isEqualTo(ErrorCode.UNKNOWN_TRANSACTION);
        }

        @Test
        void shouldRollBackWhenStatementFails() {
            TransactionId id = begin();
            execute(id, "INSERT INTO t VALUES (1)");

            Outcome failed = execute(id, "INSERT INTO nowhere VALUES (1)");

            assertThat(((Outcome.NotRun) failed).code()).isEqualTo(ErrorCode.STATEMENT_REFUSED);
            assertThat(((Outcome.NotRun) commit(id)).code())
                    .isEqualTo(ErrorCode.UNKNOWN_TRANSACTION);
            assertThat(rows()).isEmpty();
        }
    }

    @Nested
    class Begin {
        @Test
        void shouldReleaseConnectionWhenCallerIsIdleBeyondPatience() {
            TransactionId id = begin();
            execute(id, "INSERT INTO t VALUES (1)");
            fixture.clock().advance(PATIENCE.plusMillis(10));

            assertThat(((Outcome.NotRun) commit(id)).code())
                    .isEqualTo(ErrorCode.UNKNOWN_TRANSACTION);
            assertThat(fixture.group().instance(InstanceId.of("a")).openSessionCount())
                    .isLessThanOrEqualTo(1);
            assertThat(rows()).isEmpty();
        }
    }

    @Nested
    class Commit {
        @Test
        void shouldReturnDoneWhenResponseToCommitIsLost() {
            TransactionId id = begin();
            execute(id, "INSERT INTO t VALUES (1)");
            fixture.group().faultInjector().dropNextResponses(1);

            assertThat(commit(id)).isInstanceOf(Outcome.Done.class);
            assertThat(rows()).containsExactly(List.of(1));
        }

        @Test
        void shouldReturnNotRunWhenPrimaryPromisesHigherTermBeforeCommit() {
            TransactionId id = begin();
            execute(id, "INSERT INTO t VALUES (1)");
            fixture.group().instance(InstanceId.of("a")).promise(Term.of(2));

            assertThat(((Outcome.NotRun) commit(id)).code()).isEqualTo(ErrorCode.TRANSACTION_LOST);
        }
    }

    private TransactionId begin() {
        return ((BeginResult.Begun)
                        fixture.await(proxy.beginTransaction(SERVICE, GROUP, NON_IDEMPOTENT_WRITE)))
                .id();
    }

    private Outcome execute(TransactionId id, String sql) {
        return fixture.await(proxy.withTransactions(t -> t.execute(id, SERVICE, sql, List.of())));
    }

    private Outcome commit(TransactionId id) {
        return fixture.await(proxy.withTransactions(t -> t.commit(id, SERVICE, Optional.empty())));
    }

    private List<List<Object>> rows() {
        return fixture.runExpectingDone(proxy, "SELECT * FROM t", CURRENT_READ).rows();
    }
}
