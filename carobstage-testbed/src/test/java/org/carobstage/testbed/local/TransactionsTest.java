package org.carobstage.testbed.local;

import static org.assertj.core.api.Assertions.assertThat;
import static org.carobstage.testbed.local.LocalSystem.CURRENT;
import static org.carobstage.testbed.local.LocalSystem.GROUP;
import static org.carobstage.testbed.local.LocalSystem.ONCE;
import static org.carobstage.testbed.local.LocalSystem.PATIENCE;
import static org.carobstage.testbed.local.LocalSystem.SERVICE;

import java.util.List;
import java.util.Optional;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Share;
import org.carobstage.statement.Outcome;
import org.carobstage.transaction.BeginResult;
import org.carobstage.transaction.TransactionId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TransactionsTest {
    private final LocalSystem system = LocalSystem.of(2);
    private final Proxy proxy = system.proxy("one", new Share(2, 2));

    @BeforeEach
    void createTable() {
        system.done(proxy, "CREATE TABLE t (id INT)", ONCE);
    }

    @Nested
    class Execute {
        @Test
        void shouldNotMixWhenTwoCallersShareFewConnections() {
            TransactionId first = begin();
            TransactionId second = begin();
            execute(first, "INSERT INTO t VALUES (1)");
            execute(second, "INSERT INTO t VALUES (2)");
            system.await(proxy.inTransaction(t -> t.rollback(first, SERVICE)));

            commit(second);

            assertThat(rows()).containsExactly(List.of(2));
        }

        @Test
        void shouldRefuseWhenCallerOfAnotherServiceNamesTheTransaction() {
            TransactionId id = begin();
            ServiceName other = ServiceName.of("aftercare");

            Outcome outcome =
                    system.await(
                            proxy.inTransaction(t -> t.execute(id, other, "SELECT 1", List.of())));

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
        void shouldGiveConnectionBackWhenCallerStaysAway() {
            TransactionId id = begin();
            execute(id, "INSERT INTO t VALUES (1)");
            system.clock().advance(PATIENCE.plusMillis(10));

            assertThat(((Outcome.NotRun) commit(id)).code())
                    .isEqualTo(ErrorCode.UNKNOWN_TRANSACTION);
            assertThat(system.group().instance(InstanceId.of("a")).openSessions())
                    .isLessThanOrEqualTo(1);
            assertThat(rows()).isEmpty();
        }
    }

    @Nested
    class Commit {
        @Test
        void shouldFindOutWhenAnswerToCommitWasLost() {
            TransactionId id = begin();
            execute(id, "INSERT INTO t VALUES (1)");
            system.group().faults().loseAnswers(1);

            assertThat(commit(id)).isInstanceOf(Outcome.Done.class);
            assertThat(rows()).containsExactly(List.of(1));
        }

        @Test
        void shouldNotRunWhenPrimaryPromisedHigherTermMeanwhile() {
            TransactionId id = begin();
            execute(id, "INSERT INTO t VALUES (1)");
            system.group().instance(InstanceId.of("a")).promise(Term.of(2));

            assertThat(((Outcome.NotRun) commit(id)).code()).isEqualTo(ErrorCode.TRANSACTION_LOST);
        }
    }

    private TransactionId begin() {
        return ((BeginResult.Begun) system.await(proxy.begin(SERVICE, GROUP, ONCE))).id();
    }

    private Outcome execute(TransactionId id, String sql) {
        return system.await(proxy.inTransaction(t -> t.execute(id, SERVICE, sql, List.of())));
    }

    private Outcome commit(TransactionId id) {
        return system.await(proxy.inTransaction(t -> t.commit(id, SERVICE, Optional.empty())));
    }

    private List<List<Object>> rows() {
        return system.done(proxy, "SELECT * FROM t", CURRENT).rows();
    }
}
