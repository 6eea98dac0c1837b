package org.carobstage.testbed.database;

import static org.assertj.core.api.Assertions.assertThat;

import java.sql.SQLException;
import java.util.List;
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendMessages.Execute;
import org.carobstage.backend.Refusal;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DatabaseInstanceTest {
    private static final Term ONE = Term.of(1);
    private static final Term TWO = Term.of(2);

    private final DatabaseInstance a = instance("a");
    private final DatabaseInstance b = instance("b");

    @Nested
    class Commit {
        @Test
        void shouldRefuseWhenHigherTermWasPromisedMeanwhile() throws SQLException {
            startTermOne();
            DatabaseSession session = a.open().orElseThrow();
            session.begin(ONE);
            session.execute(write(1, "CREATE TABLE t (id INT)", null));
            a.promise(TWO);

            assertThat(session.commit(null))
                    .isInstanceOfSatisfying(
                            Answer.Refused.class,
                            r -> assertThat(r.reason()).isEqualTo(Refusal.TERM));
        }
    }

    @Nested
    class ExecuteStatement {
        @Test
        void shouldRunOnceWhenKeyIsRepeated() throws SQLException {
            startTermOne();
            DatabaseSession session = a.open().orElseThrow();
            session.execute(write(1, "CREATE TABLE t (id INT)", null));

            Answer first = session.execute(write(1, "INSERT INTO t VALUES (7)", "k"));
            Answer second = session.execute(write(1, "INSERT INTO t VALUES (7)", "k"));

            assertThat(((Answer.Done) first).replayed()).isFalse();
            assertThat(((Answer.Done) second).replayed()).isTrue();
            assertThat(((Answer.Done) session.execute(read(1, "SELECT * FROM t"))).rows())
                    .hasSize(1);
        }
    }

    @Nested
    class Take {
        @Test
        void shouldKeepAtEachStepWhatThePrimaryHoldsWhenOldPrimaryFollows() throws SQLException {
            startTermOne();
            a.open().orElseThrow().execute(write(1, "CREATE TABLE t (id INT)", null));
            replicate(a, b, 1);
            a.open().orElseThrow().execute(write(1, "INSERT INTO t VALUES (1)", null));
            a.promise(TWO);
            b.promise(TWO);
            b.promote(TWO);

            replicate(b, a, 2);

            assertThat(a.standing().last()).isEqualTo(LogPosition.of(1, 2));
        }

        @Test
        void shouldDropWhatNoMajorityHadWhenOldPrimaryFollows() throws SQLException {
            startTermOne();
            a.open().orElseThrow().execute(write(1, "CREATE TABLE t (id INT)", null));
            replicate(a, b, 1);
            a.open().orElseThrow().execute(write(1, "INSERT INTO t VALUES (1)", null));
            a.promise(TWO);
            b.promise(TWO);
            b.promote(TWO);

            for (int round = 0; round < 3; round++) {
                replicate(b, a, 2);
            }

            assertThat(a.standing().last()).isEqualTo(LogPosition.of(2, 3));
            Answer rows = a.open().orElseThrow().execute(read(2, "SELECT * FROM t"));
            assertThat(((Answer.Done) rows).rows()).isEmpty();
        }
    }

    private void startTermOne() {
        a.promise(ONE);
        a.promote(ONE);
        b.promise(ONE);
    }

    private static void replicate(DatabaseInstance from, DatabaseInstance to, long term)
            throws SQLException {
        LogPosition last = to.standing().last();
        LogMessages.Read read = new LogMessages.Read(term, last.term().number(), last.offset(), 0);
        to.take(read, from.read(read), 0);
    }

    private static Execute write(long term, String sql, String key) {
        return new Execute(term, sql, List.of(), false, 0, 0, key);
    }

    private static Execute read(long term, String sql) {
        return new Execute(term, sql, List.of(), true, 0, 0, null);
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
