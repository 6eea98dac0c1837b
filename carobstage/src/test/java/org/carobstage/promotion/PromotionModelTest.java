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
import org.carobstage.backend.Standing;
import org.carobstage.model.InstanceId;
import org.carobstage.promotion.GroupModel.Limits;
import org.carobstage.promotion.GroupModel.Rules;
import org.carobstage.promotion.GroupModel.World;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromotionModelTest {
    private static final int DEPTH = 8;
    private static final Limits LIMITS = new Limits(2, 1, 1);

    @Nested
    class EveryInterleaving {
        @Test
        void shouldKeepInvariantsWhenRulesAreWhole() {
            int worlds = explore(Rules.real());

            assertThat(worlds).isGreaterThan(100_000);
        }

        @Test
        void shouldFailWhenTwoProposersShareATerm() {
            assertThatThrownBy(() -> explore(Rules.real().withTags(1, 1)))
                    .hasMessageContaining("two primaries");
        }

        @Test
        void shouldFailWhenLowestPositionIsChosen() {
            Rules rules = Rules.real().withDecision(PromotionModelTest::chooseLowest);
            assertThatThrownBy(() -> explore(rules)).hasMessageContaining("is not in");
        }

        @Test
        void shouldFailWhenPrimaryAloneAcknowledges() {
            assertThatThrownBy(() -> explore(Rules.real().withProof((standing, position) -> true)))
                    .isInstanceOf(AssertionError.class);
        }

        @Test
        void shouldFailWhenReplicaThatPromisedAnotherTermConfirms() {
            Rules rules = Rules.real().withProof((s, position) -> s.last().covers(position));
            assertThatThrownBy(() -> explore(rules)).isInstanceOf(AssertionError.class);
        }
    }

    @Nested
    class OldPrimaryRejoins {
        @Test
        void shouldKeepInvariantsWhenReplicaDropsOnlyWhatThePrimaryLacks() {
            assertThat(explore(Rules.real(), GroupModel.afterOnePromotion(LIMITS), 7)).isPositive();
        }

        @Test
        void shouldFailWhenReplicaDropsItsWholeLastTerm() {
            Rules rules = Rules.real().withFollow(GroupModel::followDroppingTerm);
            World start = GroupModel.afterOnePromotion(LIMITS);
            assertThatThrownBy(() -> explore(rules, start, 7))
                    .hasMessageContaining("is not in the primary");
        }
    }

    @Property(tries = 1_000, seed = "20261203")
    void shouldKeepInvariantsOnLongWalks(@ForAll long seed) {
        walk(Rules.real(), seed);
    }

    private static void walk(Rules rules, long seed) {
        GroupModel model = new GroupModel(rules);
        Random random = new Random(seed);
        World world = GroupModel.start(new Limits(8, 6, 2));
        for (int i = 0; i < 200; i++) {
            List<World> next = model.next(world);
            if (next.isEmpty()) {
                return;
            }
            world = next.get(random.nextInt(next.size()));
        }
    }

    private static int explore(Rules rules) {
        return explore(rules, GroupModel.start(LIMITS), DEPTH);
    }

    private static int explore(Rules rules, World start, int steps) {
        GroupModel model = new GroupModel(rules);
        Set<World> known = new HashSet<>(Set.of(start));
        List<World> layer = new ArrayList<>(known);
        for (int depth = 0; depth < steps; depth++) {
            List<World> next = new ArrayList<>();
            for (World world : layer) {
                model.next(world).stream().filter(known::add).forEach(next::add);
            }
            layer = next;
        }
        return known.size();
    }

    private static PromotionStep chooseLowest(
            PromotionState state, PromotionEvent event, long now) {
        PromotionStep step = Promoter.of(GroupModel.spec()).step(state, event, now);
        if (!(step.state() instanceof PromotionState.Promoting promoting)
                || !(state instanceof PromotionState.Promising promising)) {
            return step;
        }
        List<Standing> promised = new ArrayList<>(promising.promised().values());
        promised.add(((PromotionEvent.Answered) event).standing());
        InstanceId lowest =
                promised.stream()
                        .min(Comparator.comparing(Standing::last))
                        .orElseThrow()
                        .instance();
        return PromotionStep.of(
                new PromotionState.Promoting(promoting.term(), lowest, promoting.untilNanos()),
                new PromotionAction.Promote(promoting.term(), lowest));
    }
}
