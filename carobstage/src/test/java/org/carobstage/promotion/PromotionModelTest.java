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

class PromotionModelTest {
    private static final int DEPTH = 8;
    private static final StepBudget LIMITS = new StepBudget(2, 1, 1);

    @Nested
    class EveryInterleaving {
        @Test
        void shouldKeepInvariantsWhenRulesAreWhole() {
            int worlds = explore(Rules.production());

            assertThat(worlds).isGreaterThan(100_000);
        }

        @Test
        void shouldFailWhenTwoProposersShareATerm() {
            assertThatThrownBy(() -> explore(Rules.production().withTags(1, 1)))
                    .hasMessageContaining("two primaries");
        }

        @Test
        void shouldFailWhenLowestPositionIsChosen() {
            Rules rules = Rules.production().withTransition(PromotionModelTest::chooseLowest);
            assertThatThrownBy(() -> explore(rules)).hasMessageContaining("is not in");
        }

        @Test
        void shouldFailWhenPrimaryAloneAcknowledges() {
            assertThatThrownBy(
                            () ->
                                    explore(
                                            Rules.production()
                                                    .withConfirmationRule(
                                                            (standing, position) -> true)))
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
    class OldPrimaryRejoins {
        @Test
        void shouldKeepInvariantsWhenReplicaDropsOnlyWhatThePrimaryLacks() {
            assertThat(explore(Rules.production(), GroupModel.afterOnePromotion(LIMITS), 7))
                    .isPositive();
        }

        @Test
        void shouldFailWhenReplicaDropsItsWholeLastTerm() {
            Rules rules = Rules.production().withReplicationRule(GroupModel::replicateDroppingTerm);
            ModelState start = GroupModel.afterOnePromotion(LIMITS);
            assertThatThrownBy(() -> explore(rules, start, 7))
                    .hasMessageContaining("is not in the primary");
        }
    }

    @Property(tries = 1_000, seed = "20261203")
    void shouldKeepInvariantsOnLongWalks(@ForAll long seed) {
        walk(Rules.production(), seed);
    }

    private static void walk(Rules rules, long seed) {
        GroupModel model = new GroupModel(rules);
        Random random = new Random(seed);
        ModelState world = GroupModel.initialState(new StepBudget(8, 6, 2));
        for (int i = 0; i < 200; i++) {
            List<ModelState> next = model.successors(world);
            if (next.isEmpty()) {
                return;
            }
            world = next.get(random.nextInt(next.size()));
        }
    }

    private static int explore(Rules rules) {
        return explore(rules, GroupModel.initialState(LIMITS), DEPTH);
    }

    private static int explore(Rules rules, ModelState start, int steps) {
        GroupModel model = new GroupModel(rules);
        Set<ModelState> known = new HashSet<>(Set.of(start));
        List<ModelState> layer = new ArrayList<>(known);
        for (int depth = 0; depth < steps; depth++) {
            List<ModelState> next = new ArrayList<>();
            for (ModelState world : layer) {
                model.successors(world).stream().filter(known::add).forEach(next::add);
            }
            layer = next;
        }
        return known.size();
    }

    private static PromotionTransition chooseLowest(
            PromotionState state, PromotionEvent event, long now) {
        PromotionTransition step =
                PromotionStateMachine.of(GroupModel.spec()).transition(state, event, now);
        if (!(step.state() instanceof PromotionState.Promoting promoting)
                || !(state instanceof PromotionState.CollectingPromises promising)) {
            return step;
        }
        List<ReplicationStatus> promised = new ArrayList<>(promising.promises().values());
        promised.add(((PromotionEvent.ResponseReceived) event).status());
        InstanceId lowest =
                promised.stream()
                        .min(Comparator.comparing(ReplicationStatus::lastPosition))
                        .orElseThrow()
                        .instance();
        return PromotionTransition.of(
                new PromotionState.Promoting(promoting.term(), lowest, promoting.deadlineNanos()),
                new PromotionAction.Promote(promoting.term(), lowest));
    }
}
