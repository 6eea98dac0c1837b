package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.FakeService;
import org.carobstage.fake.MessageFilter.Fate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Explores failovers of three instances by four processes in which one message is lost, not
 * answered or executed late, under every fate of the primary and of one replica. A message is named
 * by its kind and its object, and counted from the fate of the primary on. The guarantees are those
 * of {@link FailoverExplorationTest}, and so is the property for the stride.
 */
class FailoverMessageExplorationTest {
    private static final int STRIDE = Integer.getInteger("failover.exploration.stride", 101);
    private static final String RESTARTS = " restarts";
    private static final String HAS_NO_ENTRY = " has no entry";
    private static final String WAKES_UP = "silent 2000 ms";
    private static final int PROCESSES = 4;
    private static final int MAX_NUMBER = 3;
    private static final int FAULT_MILLIS = 7_000;
    private static final int RECOVERY_MILLIS = 22_000;

    private static final Predicate<String> REPLICAS_PAUSED =
            f -> !f.contains(RESTARTS) && !f.contains(HAS_NO_ENTRY);

    private static final Map<String, Consumer<Play>> PRIMARY_FATES = primaryFates();
    private static final Map<String, Consumer<Play>> REPLICA_FATES = replicaFates();
    private static final Map<String, Fate> MESSAGE_FATES = messageFates();

    @Test
    void shouldKeepEveryGuaranteeWhenReplicasKeepRunning() {
        assertThat(explore(REPLICAS_PAUSED.and(f -> !f.contains(WAKES_UP)))).isEmpty();
    }

    @Test
    void shouldKeepEveryGuaranteeWhenPrimaryWakesUpDuringSecondFailover() {
        assertThat(explore(REPLICAS_PAUSED.and(f -> f.contains(WAKES_UP)))).isEmpty();
    }

    // An instance ignores a PAUSE whose term it has already seen and keeps receiving commits.
    @Test
    void shouldNotTrustPauseWithoutEffectWhenPrimaryWakesUp() {
        assertThat(play("no fencing, silent 2000 ms, replicas run, PAUSE c, 1, lost", false))
                .isEmpty();
    }

    // A replica that restarts is not paused and lets a primary that wakes up acknowledge commits.
    @Test
    void shouldKeepEveryGuaranteeWhenReplicaRestarts() {
        assertThat(explore(f -> f.contains(RESTARTS))).isEmpty();
    }

    // Without the reset of writes in flight, a client is told of a commit that the promotion loses.
    @Test
    void shouldKeepEveryCommitWhoseResponseCanBeReceivedWhenReplicaRestarts() {
        assertThat(
                        explore(
                                f -> f.contains(RESTARTS),
                                FakeService::countReceivableAcknowledgementsOnly))
                .isEmpty();
    }

    // A replica without an entry is not paused.
    @Test
    void shouldKeepEveryGuaranteeWhenReplicaHasNoEntry() {
        assertThat(explore(f -> f.contains(HAS_NO_ENTRY))).isEmpty();
    }

    /** Plays each failover without a harmed message, and every n-th schedule with one. */
    private static List<String> explore(Predicate<String> selection) {
        return explore(selection, service -> {});
    }

    private static List<String> explore(
            Predicate<String> selection, Consumer<FakeService> accounting) {
        Map<Schedule, Set<Schedule>> harmed = new ConcurrentHashMap<>();
        List<Schedule> failovers = failovers().filter(f -> selection.test(f.toString())).toList();
        List<String> failures =
                FailoverPlay.explore(
                        failovers, 1, s -> new Play(s, accounting).runAndCollect(harmed));
        List<Schedule> schedules =
                failovers.stream().map(harmed::get).flatMap(Set::stream).toList();
        return Stream.concat(
                        failures.stream(),
                        FailoverPlay.explore(schedules, STRIDE, s -> new Play(s, accounting).run())
                                .stream())
                .toList();
    }

    // Replays one schedule and logs its events.
    @Test
    @EnabledIfSystemProperty(named = "failover.exploration.schedule", matches = ".+")
    void shouldKeepEveryGuaranteeInSelectedSchedule() {
        assertThat(play(System.getProperty("failover.exploration.schedule"), true)).isEmpty();
    }

    private static String play(String schedule, boolean tracing) {
        Play play = new Play(Schedule.parse(schedule), service -> {});
        play.tracing = tracing;
        return play.run();
    }

    private static Stream<Schedule> failovers() {
        return Stream.of(false, true)
                .flatMap(
                        fencing ->
                                PRIMARY_FATES.keySet().stream()
                                        .flatMap(primary -> failovers(fencing, primary)));
    }

    private static Stream<Schedule> failovers(boolean fencing, String primary) {
        return REPLICA_FATES.keySet().stream()
                .map(replica -> new Schedule(fencing, primary, replica, "none", 0, "delivered"));
    }

    private record Schedule(
            boolean fencing,
            String primary,
            String replica,
            String message,
            int number,
            String fate) {
        private static Schedule parse(String text) {
            String[] parts = text.split(", ");
            return new Schedule(
                    parts[0].equals("fencing"),
                    parts[1],
                    parts[2],
                    parts[3],
                    Integer.parseInt(parts[4]),
                    parts[5]);
        }

        /** Returns the schedules that harm one of the first messages of a name. */
        private Stream<Schedule> with(String name, int count) {
            return IntStream.rangeClosed(1, Math.min(count, MAX_NUMBER))
                    .boxed()
                    .flatMap(n -> MESSAGE_FATES.keySet().stream().map(f -> with(name, n, f)));
        }

        private Schedule with(String name, int n, String messageFate) {
            return new Schedule(fencing, primary, replica, name, n, messageFate);
        }

        @Override
        public String toString() {
            return String.join(
                    ", ",
                    fencing ? "fencing" : "no fencing",
                    primary,
                    replica,
                    message,
                    Integer.toString(number),
                    fate);
        }
    }

    /** A schedule that is being played. */
    private static final class Play {
        private final Schedule schedule;
        private final FailoverPlay play;
        private final FailoverFixture fixture;
        private final Map<String, Integer> counts = new TreeMap<>();
        private final Map<String, Runnable> reactions = new LinkedHashMap<>();
        private boolean tracing;

        private Play(Schedule schedule, Consumer<FakeService> accounting) {
            this.schedule = schedule;
            this.play = new FailoverPlay(schedule.fencing(), PROCESSES);
            this.fixture = play.fixture;
            accounting.accept(fixture.service);
        }

        /** Votes decide only if the members are stable, and replicas differ by their delays. */
        private String run() {
            instance("b").setReplicationDelay(Duration.ofMillis(3));
            instance("c").setReplicationDelay(Duration.ofMillis(60));
            fixture.advanceMillis(15_000);
            play.advance(1_000);
            REPLICA_FATES.get(schedule.replica()).accept(this);
            play.advance(2_000);
            fixture.filter = this::fateOf;
            PRIMARY_FATES.get(schedule.primary()).accept(this);
            play.advance(FAULT_MILLIS);
            play.endFaults();
            fixture.processes.forEach(p -> List.of("b", "c").forEach(id -> p.group.put(entry(id))));
            return play.findViolationAfter(RECOVERY_MILLIS);
        }

        /** Collects this failover with each of its first messages under each fate. */
        private String runAndCollect(Map<Schedule, Set<Schedule>> harmed) {
            String violation = run();
            harmed.put(
                    schedule,
                    counts.entrySet().stream()
                            .flatMap(e -> schedule.with(e.getKey(), e.getValue()))
                            .collect(Collectors.toCollection(LinkedHashSet::new)));
            return violation;
        }

        private InstanceEntry entry(String id) {
            return instance(id).instanceEntry();
        }

        private FakeInstance instance(String id) {
            return fixture.instance(id);
        }

        private Fate fateOf(String message) {
            String name = message.substring(message.indexOf(' ') + 1);
            int count = counts.merge(name, 1, Integer::sum);
            reactions.keySet().stream()
                    .filter(name::startsWith)
                    .toList()
                    .forEach(prefix -> reactions.remove(prefix).run());
            boolean harmed = name.equals(schedule.message()) && count == schedule.number();
            if (tracing) {
                System.err.println(
                        fixture.clock.nanoTime() / 1_000_000
                                + " "
                                + message
                                + (harmed ? " IS " + schedule.fate() : ""));
            }
            return harmed ? MESSAGE_FATES.get(schedule.fate()) : Fate.DELIVERED;
        }

        private void after(int millis, Runnable task) {
            fixture.clock.schedule(task, Duration.ofMillis(millis));
        }

        private void restart(String id, int delayMillis) {
            after(delayMillis, instance(id)::crash);
            after(delayMillis + 200, instance(id)::recover);
        }
    }

    private static Map<String, Fate> messageFates() {
        Map<String, Fate> fates = new LinkedHashMap<>();
        fates.put("answer lost", Fate.ANSWER_LOST);
        fates.put("lost", Fate.LOST);
        Stream.of(1, 3, 6, 10)
                .forEach(s -> fates.put("late " + s + " s", Fate.late(Duration.ofSeconds(s))));
        return fates;
    }

    private static Map<String, Consumer<Play>> primaryFates() {
        Map<String, Consumer<Play>> fates = new LinkedHashMap<>();
        fates.put("crashes", p -> p.instance("a").crash());
        IntStream.of(300, 1_000, 2_000, 3_000, 6_000)
                .forEach(
                        millis ->
                                fates.put(
                                        "silent " + millis + " ms",
                                        p -> {
                                            p.instance("a").stopResponding();
                                            p.after(millis, p.instance("a")::recover);
                                        }));
        fates.put("unreachable for two", p -> p.fixture.cutOffPrimary(0, 1));
        fates.put("drains", p -> p.play.drainPrimary());
        return fates;
    }

    private static Map<String, Consumer<Play>> replicaFates() {
        Map<String, Consumer<Play>> fates = new LinkedHashMap<>();
        fates.put("replicas run", p -> {});
        Arrays.asList("b", "c")
                .forEach(
                        id -> {
                            fates.put(
                                    id + " receives nothing",
                                    p -> p.instance(id).setReplicationBlocked(true));
                            fates.put(
                                    id + RESTARTS + " after its pause",
                                    p -> p.reactions.put("PAUSE " + id, () -> p.restart(id, 50)));
                            fates.put(
                                    id + RESTARTS + " after the request",
                                    p -> p.reactions.put("PROMOTE", () -> p.restart(id, 1)));
                            fates.put(
                                    id + " does not answer",
                                    p -> p.after(2_000, p.instance(id)::stopResponding));
                            fates.put(
                                    id + HAS_NO_ENTRY,
                                    p -> p.after(1_000, () -> p.fixture.dropEntry(id)));
                        });
        return fates;
    }
}
