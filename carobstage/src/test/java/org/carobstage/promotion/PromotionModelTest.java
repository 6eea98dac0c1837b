package org.carobstage.promotion;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.InstanceId;
import org.carobstage.promotion.GroupModel.ModelState;
import org.carobstage.promotion.GroupModel.Rules;
import org.carobstage.promotion.GroupModel.StepBudget;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Searches the states of a group for two primaries of one term, and for acknowledged writes that
 * the primary of a later term lacks.
 */
class PromotionModelTest {
    private static final int DEPTH = 8;
    private static final StepBudget BUDGET = new StepBudget(2, 1, 1);

    @Nested
    class AllInterleavings {
        @Test
        void shouldKeepInvariantsWhenProductionRulesApply() {
            int stateCount = explore(Rules.production());

            assertThat(stateCount).isGreaterThan(100_000);
        }

        @Test
        void shouldFailWhenTwoProposersUseTheSameTerm() {
            assertThatThrownBy(() -> explore(Rules.production().withTags(1, 1)))
                    .hasMessageContaining("two primaries");
        }

        @Test
        void shouldFailWhenInstanceWithLowestPositionIsPromoted() {
            Rules rules = Rules.production().withTransition(PromotionModelTest::chooseLowest);
            assertThatThrownBy(() -> explore(rules)).hasMessageContaining("is not in");
        }

        @Test
        void shouldFailWhenWriteIsAcknowledgedWithoutReplica() {
            assertThatThrownBy(
                            () ->
                                    explore(
                                            Rules.production()
                                                    .withConfirmationRule(
                                                            (status, position) -> true)))
                    .isInstanceOf(AssertionError.class);
        }

        @Test
        void shouldFailWhenReplicaThatPromisedAnotherTermConfirms() {
            Rules rules =
                    Rules.production()
                            .withConfirmationRule(
                                    (s, position) -> s.lastPosition().isAtLeast(position));
            assertThatThrownBy(() -> explore(rules)).isInstanceOf(AssertionError.class);
        }
    }

    @Nested
    class ReplacedPrimaryRejoins {
        @Test
        void shouldKeepInvariantsWhenReplicaDropsOnlyEntriesThatPrimaryLacks() {
            assertThat(explore(Rules.production(), GroupModel.afterOnePromotion(BUDGET), 7))
                    .isPositive();
        }

        @Test
        void shouldFailWhenReplicaDropsAllEntriesOfItsLastTerm() {
            Rules rules = Rules.production().withReplicationRule(GroupModel::replicateDroppingTerm);
            ModelState start = GroupModel.afterOnePromotion(BUDGET);
            assertThatThrownBy(() -> explore(rules, start, 7))
                    .hasMessageContaining("is not in the primary");
        }
    }

    @Property(tries = 1_000, seed = "20261203")
    void shouldKeepInvariantsOnLongRandomWalks(@ForAll long seed) {
        walk(Rules.production(), seed);
    }

    private static void walk(Rules rules, long seed) {
        GroupModel model = new GroupModel(rules);
        Random random = new Random(seed);
        ModelState state = GroupModel.initialState(new StepBudget(8, 6, 2));
        for (int i = 0; i < 200; i++) {
            List<ModelState> next = model.successors(state);
            if (next.isEmpty()) {
                return;
            }
            state = next.get(random.nextInt(next.size()));
        }
    }

    private static int explore(Rules rules) {
        return explore(rules, GroupModel.initialState(BUDGET), DEPTH);
    }

    private static int explore(Rules rules, ModelState start, int steps) {
        GroupModel model = new GroupModel(rules);
        Set<ModelState> visited = new HashSet<>(Set.of(start));
        List<ModelState> layer = new ArrayList<>(visited);
        for (int depth = 0; depth < steps; depth++) {
            List<ModelState> next = new ArrayList<>();
            for (ModelState state : layer) {
                model.successors(state).stream().filter(visited::add).forEach(next::add);
            }
            layer = next;
        }
        return visited.size();
    }

    private static PromotionTransition chooseLowest(
            PromotionState state, PromotionEvent event, long now) {
        PromotionTransition transition =
                PromotionStateMachine.of(GroupModel.spec()).transition(state, event, now);
        if (!(transition.state() instanceof PromotionState.Promoting promoting)
                || !(state instanceof PromotionState.CollectingPromises collecting)) {
            return transition;
        }
        List<ReplicationStatus> promises = new ArrayList<>(collecting.promises().values());
        promises.add(((PromotionEvent.ResponseReceived) event).status());
        InstanceId lowest =
                promises.stream()
                        .min(Comparator.comparing(ReplicationStatus::lastPosition))
                        .orElseThrow()
                        .instance();
        return PromotionTransition.of(
                new PromotionState.Promoting(promoting.term(), lowest, promoting.deadlineNanos()),
                new PromotionAction.Promote(promoting.term(), lowest));
    }
}
