package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Test;

/** Guards against promotions after which a replica that should be paused held a commit alone. */
class LostCommitByPauseTest {
    private final FailoverFixture fixture = new FailoverFixture(false, 4);

    // A pause of a term that the replica has seen has no effect.
    @Test
    void shouldNotPromoteWhenPauseHadNoEffectBecauseOfItsTerm() {
        fixture.instance("b").pauseReplication(Term.of(2));
        fixture.instance("b").resumeReplication();
        fixture.advanceWriting(1_000);
        fixture.cutOffPrimary(0, 1, 2);
        fixture.advanceWriting(10_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // A RESUME that was not answered is carried out in the next failover.
    @Test
    void shouldNotPromoteWhenEarlierResumeIsExecutedLate() {
        List<Integer> violating =
                IntStream.iterate(800, d -> d <= 2_000, d -> d + 100)
                        .filter(d -> !violationsWithLateResume(d).isEmpty())
                        .boxed()
                        .toList();

        assertThat(violating).isEmpty();
    }

    private static List<String> violationsWithLateResume(int delayMillis) {
        FailoverFixture fixture = new FailoverFixture(false, 4);
        List<String> resumptions = new ArrayList<>();
        fixture.filter =
                message -> {
                    boolean late = message.endsWith("RESUME b");
                    if (late) {
                        resumptions.add(message);
                    }
                    return late ? Fate.late(Duration.ofMillis(delayMillis)) : Fate.DELIVERED;
                };
        fixture.instance("b").pauseReplication(Term.of(2));
        while (resumptions.isEmpty()) {
            fixture.advanceWriting(50);
        }
        fixture.cutOffPrimary(0, 1, 2);
        fixture.advanceWriting(10_000);
        return fixture.service.violations();
    }

    // A replica that restarts is no longer paused, and the old primary acknowledges commits again.
    @Test
    void shouldNotPromoteWhenOtherReplicaRestartsAfterTheComparison() {
        fixture.advanceWriting(1_000);
        fixture.cutOffPrimary(0, 1, 2);
        advanceUntilRequested(fixture);
        restartOther(fixture, 200);
        fixture.advanceWriting(6_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // Commits in flight at a primary that was silent are acknowledged by the restarted replica.
    @Test
    void shouldNotLoseCommitsInFlightWhenPrimaryRespondsAgainBeforePromotion() {
        fixture.advanceWriting(1_000);
        fixture.instance("a").stopResponding();
        advanceUntilRequested(fixture);
        restartOther(fixture, 200);
        fixture.advanceMillis(200);
        fixture.instance("a").recover();
        fixture.advanceWriting(6_000);

        assertThat(fixture.service.violations()).isEmpty();
    }

    // A process that the store turns away takes part in no vote and still writes; the primary
    // acknowledges what a replica confirms whose restart has ended its pause.
    @Test
    void shouldNotLoseCommitsOfCutOffProcessWhenOtherReplicaRestartsBeforePromotion() {
        List<String> violations =
                IntStream.iterate(20, d -> d <= 300, d -> d + 40)
                        .boxed()
                        .flatMap(d -> violationsWithCutOffProcess(d).stream())
                        .toList();

        assertThat(violations).isEmpty();
    }

    private static List<String> violationsWithCutOffProcess(int restartMillis) {
        FailoverFixture fixture = new FailoverFixture(true, 4);
        fixture.advanceWriting(1_000);
        fixture.processes.get(3).storeClient.setReachable(false);
        fixture.processes.get(3).loseMembership();
        fixture.cutOffPrimary(0, 1, 2);
        advanceUntilRequested(fixture);
        restartOther(fixture, restartMillis);
        fixture.advanceWriting(6_000);
        return fixture.service.violations();
    }

    // While the target is paused, a replica that restarts is the only one to confirm commits.
    @Test
    void shouldRequestPromotionOnlyOnceTargetReceivesAgain() {
        Map<String, Integer> resumptions = new HashMap<>();
        List<Term> pausesOfTarget = new ArrayList<>();
        fixture.filter =
                message -> {
                    String name = message.substring(message.indexOf(' ') + 1);
                    if (name.startsWith("PROMOTE ")) {
                        String target = name.substring("PROMOTE ".length());
                        pausesOfTarget.add(fixture.instance(target).replicationPauseTerm());
                    }
                    return name.startsWith("RESUME ")
                                    && resumptions.merge(name, 1, Integer::sum) < 3
                            ? Fate.LOST
                            : Fate.DELIVERED;
                };
        fixture.advanceWriting(1_000);
        fixture.instance("a").stopResponding();
        fixture.advanceWriting(10_000);

        assertThat(pausesOfTarget).isNotEmpty().containsOnly(Term.ZERO);
    }

    // A PAUSE that is executed late stops the target after the request.
    @Test
    void shouldResumeTargetWhenItIsPausedAfterTheRequest() {
        fixture.advanceWriting(1_000);
        fixture.instance("a").stopResponding();
        advanceUntilRequested(fixture);
        FakeInstance target = fixture.instance(isRequested(fixture, "c") ? "c" : "b");
        target.pauseReplication(Term.of(99));
        fixture.advanceMillis(200);

        assertThat(target.isPrimary()).isFalse();
        assertThat(target.replicationPauseTerm()).isEqualTo(Term.ZERO);
    }

    // A planned failover leaves the primary in service until it takes effect.
    @Test
    void shouldNotLoseCommitsWhenReplicaRestartsDuringPlannedFailover() {
        List<String> violations =
                IntStream.range(0, 10)
                        .boxed()
                        .flatMap(
                                n -> violationsOfPlannedFailover(f -> restartOther(f, 200 + 5 * n)))
                        .toList();

        assertThat(violations).isEmpty();
    }

    // A replica that registers after the comparison is not paused and acknowledges commits.
    @Test
    void shouldNotLoseCommitsWhenReplicaRegistersDuringPlannedFailover() {
        List<String> violations =
                IntStream.range(0, 5)
                        .boxed()
                        .flatMap(n -> violationsOfPlannedFailover(f -> register(f, 10 * n)))
                        .toList();

        assertThat(violations).isEmpty();
    }

    private static Stream<String> violationsOfPlannedFailover(Consumer<FailoverFixture> fault) {
        FailoverFixture fixture = new FailoverFixture();
        fixture.advanceWriting(1_000);
        fixture.drainPrimary();
        while (fixture.service.receivedPromotionRequests().isEmpty()) {
            fixture.advanceMillis(5);
        }
        String target = isRequested(fixture, "c") ? "c" : "b";
        fixture.instance(target).setReplicationDelay(Duration.ofMillis(30));
        fault.accept(fixture);
        fixture.advanceWriting(6_000);
        return fixture.service.violations().stream();
    }

    private static void advanceUntilRequested(FailoverFixture fixture) {
        while (fixture.service.receivedPromotionRequests().isEmpty()) {
            fixture.advanceWriting(10);
        }
    }

    private static void restartOther(FailoverFixture fixture, int millis) {
        FakeInstance other = fixture.instance(isRequested(fixture, "c") ? "b" : "c");
        other.crash();
        fixture.advanceMillis(millis);
        other.recover();
    }

    private static void register(FailoverFixture fixture, int delayMillis) {
        FakeInstance joining = fixture.service.addInstance("d", "domain-b");
        fixture.processes.forEach(p -> p.group.put(joining.instanceEntry()));
        fixture.advanceMillis(delayMillis);
    }

    private static boolean isRequested(FailoverFixture fixture, String id) {
        return fixture.service.receivedPromotionRequests().get(0).startsWith(id + " ");
    }
}
