package org.carobstage.read;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.group.GroupView;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReplicaSelectorTest {
    private static final InstanceId B = InstanceId.of("b");
    private static final InstanceId C = InstanceId.of("c");
    private static final Duration MAX_STALENESS = Duration.ofMillis(100);
    private static final LogPosition SESSION_POSITION = LogPosition.of(2, 10);

    private final Set<InstanceId> drainingInstances = new HashSet<>();

    @Nested
    class Select {
        @Test
        void shouldSkipReplicaWhenItIsDraining() {
            GroupView view = view(replica("b", 2, 10, 0), replica("c", 2, 10, 0));
            drainingInstances.add(C);

            assertThat(select(view, 0)).contains(B);
        }

        @Test
        void shouldSelectCheapestReplicaWhenBothAreEligible() {
            GroupView view = view(replica("b", 2, 10, 0), replica("c", 2, 11, 0));

            assertThat(select(view, 0)).contains(C);
        }

        @Test
        void shouldSkipReplicaWhenItIsBehindSession() {
            GroupView view = view(replica("b", 2, 10, 0), replica("c", 2, 9, 0));

            assertThat(select(view, 0)).contains(B);
        }

        @Test
        void shouldSkipReplicaWhenItIsTooStale() {
            GroupView view = view(replica("b", 2, 10, 101), replica("c", 2, 10, -1));

            assertThat(select(view, 0)).isEmpty();
        }

        @Test
        void shouldAddAgeOfObservationToLag() {
            GroupView view = view(replica("b", 2, 10, 60), replica("c", 2, 10, 61));

            assertThat(select(view, Duration.ofMillis(40).toNanos())).contains(B);
            assertThat(select(view, Duration.ofMillis(41).toNanos())).isEmpty();
        }

        @Test
        void shouldSkipReplicaWhenItsTermOrLogTermIsOld() {
            ReplicationStatus staleLog =
                    new ReplicationStatus(C, Term.of(2), false, LogPosition.of(1, 50), 0);
            GroupView view = view(replica("b", 1, 99, 0), staleLog);

            assertThat(select(view, 0)).isEmpty();
        }
    }

    private Optional<InstanceId> select(GroupView view, long nowNanos) {
        return ReplicaSelector.select(
                view,
                SESSION_POSITION,
                MAX_STALENESS,
                nowNanos,
                id -> id.equals(B) ? 2 : 1,
                drainingInstances::contains);
    }

    private static ReplicationStatus replica(String id, long term, long offset, long lagMillis) {
        LogPosition last = LogPosition.of(term, offset);
        return new ReplicationStatus(InstanceId.of(id), Term.of(term), false, last, lagMillis);
    }

    private static GroupView view(ReplicationStatus... replicas) {
        ReplicationStatus primary =
                new ReplicationStatus(
                        InstanceId.of("a"), Term.of(2), true, LogPosition.of(2, 12), 0);
        List<InstanceSpec> instances = Stream.of("a", "b", "c").map(i -> spec(i)).toList();
        GroupView view = GroupView.of(new GroupSpec(GroupId.of("g"), 3, 20, instances));
        view = view.withObservation(primary, 0);
        for (ReplicationStatus replica : replicas) {
            view = view.withObservation(replica, 0);
        }
        return view;
    }

    private static InstanceSpec spec(String id) {
        return new InstanceSpec(
                InstanceId.of(id), Address.of("127.0.0.1", 1), FailureDomain.of("caruaru"));
    }
}
