package org.carobstage.testbed.database;

import static org.assertj.core.api.Assertions.assertThat;

import java.sql.SQLException;
import java.util.List;
import org.carobstage.backend.BackendMessages.ExecuteRequest;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.Refusal;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DatabaseInstanceTest {
    private static final Term TERM_1 = Term.of(1);
    private static final Term TERM_2 = Term.of(2);

    private final DatabaseInstance a = instance("a");
    private final DatabaseInstance b = instance("b");

    @Nested
    class Commit {
        @Test
        void shouldRefuseWhenHigherTermIsPromisedDuringTransaction() throws SQLException {
            startTermOne();
            DatabaseSession session = a.openSession().orElseThrow();
            session.begin(TERM_1);
            session.execute(write(1, "CREATE TABLE t (id INT)", null));
            a.promise(TERM_2);

            assertThat(session.commit(null))
                    .isInstanceOfSatisfying(
                            BackendResult.Refused.class,
                            r -> assertThat(r.reason()).isEqualTo(Refusal.TERM));
        }
    }

    @Nested
    class ExecuteStatement {
        @Test
        void shouldExecuteOnceWhenKeyIsRepeated() throws SQLException {
            startTermOne();
            DatabaseSession session = a.openSession().orElseThrow();
            session.execute(write(1, "CREATE TABLE t (id INT)", null));

            BackendResult first = session.execute(write(1, "INSERT INTO t VALUES (7)", "k"));
            BackendResult second = session.execute(write(1, "INSERT INTO t VALUES (7)", "k"));

            assertThat(((BackendResult.Done) first).isReplayed()).isFalse();
            assertThat(((BackendResult.Done) second).isReplayed()).isTrue();
            assertThat(((BackendResult.Done) session.execute(read(1, "SELECT * FROM t"))).rows())
                    .hasSize(1);
        }
    }

    @Nested
    class ApplyBatch {
        @Test
        void shouldKeepEntriesSharedWithPrimaryWhenFormerPrimaryTruncates() throws SQLException {
            startTermOne();
            a.openSession().orElseThrow().execute(write(1, "CREATE TABLE t (id INT)", null));
            replicate(a, b, 1);
            a.openSession().orElseThrow().execute(write(1, "INSERT INTO t VALUES (1)", null));
            a.promise(TERM_2);
            b.promise(TERM_2);
            b.promote(TERM_2);

            replicate(b, a, 2);

            assertThat(a.status().lastPosition()).isEqualTo(LogPosition.of(1, 2));
        }

        @Test
        void shouldDiscardUnreplicatedEntryWhenFormerPrimaryRejoins() throws SQLException {
            startTermOne();
            a.openSession().orElseThrow().execute(write(1, "CREATE TABLE t (id INT)", null));
            replicate(a, b, 1);
            a.openSession().orElseThrow().execute(write(1, "INSERT INTO t VALUES (1)", null));
            a.promise(TERM_2);
            b.promise(TERM_2);
            b.promote(TERM_2);

            for (int round = 0; round < 3; round++) {
                replicate(b, a, 2);
            }

            assertThat(a.status().lastPosition()).isEqualTo(LogPosition.of(2, 3));
            BackendResult rows = a.openSession().orElseThrow().execute(read(2, "SELECT * FROM t"));
            assertThat(((BackendResult.Done) rows).rows()).isEmpty();
        }
    }

    private void startTermOne() {
        a.promise(TERM_1);
        a.promote(TERM_1);
        b.promise(TERM_1);
    }

    private static void replicate(DatabaseInstance from, DatabaseInstance to, long term)
            throws SQLException {
        LogPosition last = to.status().lastPosition();
        LogMessages.Read read = new LogMessages.Read(term, last.term().number(), last.offset(), 0);
        to.applyBatch(read, from.readLog(read), 0);
    }

    private static ExecuteRequest write(long term, String sql, String key) {
        return new ExecuteRequest(term, sql, List.of(), false, 0, 0, key);
    }

    private static ExecuteRequest read(long term, String sql) {
        return new ExecuteRequest(term, sql, List.of(), true, 0, 0, null);
    }

    private static DatabaseInstance instance(String id) {
        try {
            return DatabaseInstance.of(
                    new InstanceSettings(InstanceId.of(id), 3, 20, 0, 0, 0), () -> 0);
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }
}
