package org.carobstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.MessageFilter.Fate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Explores failovers by five processes whose first holder of the lease is superseded, where the
 * platform compares no fencing tokens. At each message of that holder its lease ends, or it is
 * suspended or ends; the watches of the others are held, the message or the first promotion request
 * is harmed, and the promoted instance, the old primary or a replica fails afterwards. The
 * guarantees are those of {@link FailoverExplorationTest}, and no lower token follows a higher one.
 */
class HolderChangeExplorationTest {
    private static final int STRIDE = Integer.getInteger("failover.exploration.stride", 4_799);
    private static final String LEASE = "carobstage/failover/forms";
    private static final String PROMOTION = "PROMOTE";
    private static final String NONE = "none";
    private static final int PROCESSES = 5;
    private static final int MAX_NUMBER = 2;
    private static final int FAULT_MILLIS = 16_000;
    private static final int RECOVERY_MILLIS = 20_000;

    private static final Map<String, Consumer<Play>> PRIMARY_FATES = primaryFates();
    private static final Map<String, Consumer<Play>> HOLDER_FATES = holderFates();
    private static final Map<String, Consumer<Play>> SEQUELS = sequels();
    private static final Map<String, Fate> MESSAGE_FATES = messageFates();
    private static final List<Integer> WATCH_HOLDS = List.of(0, 200, 800, 2_000);

    // The request of a superseded holder replaces the primary that its successor has promoted.
    @Test
    void shouldKeepEveryGuaranteeWhenHolderIsSuperseded() {
        assertThat(FailoverPlay.explore(schedules(), STRIDE, s -> new Play(s).run())).isEmpty();
    }

    // A superseded holder resumes the replicas whose pause its successor relies on.
    @Test
    void shouldNotResumeReplicasThatNextHolderHasPaused() {
        assertThat(
                        play(
                                "unreachable for three, PAUSE b #1 +0, lease ends and suspended"
                                        + " 1500, 0, PROMOTE lost, old primary returns",
                                false))
                .isEmpty();
    }

    // The superseded holder was replacing a primary that drains.
    @Test
    void shouldNotResumeReplicasThatNextHolderHasPausedWhenFirstFailoverWasPlanned() {
        assertThat(
                        play(
                                "drains, PROMOTE b #1 +6, suspended 5000 uncounted, 800, PROMOTE"
                                        + " refused ten times, promoted crashes after 300",
                                false))
                .isEmpty();
    }

    // Replays one schedule and logs its events.
    @Test
    @EnabledIfSystemProperty(named = "failover.exploration.schedule", matches = ".+")
    void shouldKeepEveryGuaranteeInSelectedSchedule() {
        assertThat(play(System.getProperty("failover.exploration.schedule"), true)).isEmpty();
    }

    private static String play(String schedule, boolean tracing) {
        Play play = new Play(Schedule.parse(schedule));
        play.tracing = tracing;
        return play.run();
    }

    /** Returns the schedules of the messages that the first holder sends in each failover. */
    private static List<Schedule> schedules() {
        Map<String, List<Trigger>> triggers = new ConcurrentHashMap<>();
        List<String> primaries = List.copyOf(PRIMARY_FATES.keySet());
        List<Schedule> failovers = primaries.stream().map(Schedule::undisturbed).toList();
        assertThat(FailoverPlay.explore(failovers, 1, s -> new Play(s).runAndCollect(triggers)))
                .isEmpty();
        return primaries.stream()
                .flatMap(p -> triggers.get(p).stream().flatMap(t -> schedules(p, t)))
                .toList();
    }

    private static Stream<Schedule> schedules(String primary, Trigger trigger) {
        return HOLDER_FATES.keySet().stream()
                .flatMap(
                        holder ->
                                WATCH_HOLDS.stream()
                                        .flatMap(w -> schedules(primary, trigger, holder, w)));
    }

    private static Stream<Schedule> schedules(
            String primary, Trigger trigger, String holder, int watchHold) {
        return Stream.of(true, false)
                .filter(promotion -> promotion || !trigger.name().startsWith(PROMOTION))
                .flatMap(
                        promotion ->
                                MESSAGE_FATES.keySet().stream()
                                        .filter(f -> promotion || isForOtherMessages(f))
                                        .map(f -> (promotion ? PROMOTION : "it") + " " + f))
                .flatMap(
                        fate ->
                                SEQUELS.keySet().stream()
                                        .map(
                                                sequel ->
                                                        new Schedule(
                                                                primary, trigger, holder, watchHold,
                                                                fate, sequel)));
    }

    private static boolean isForOtherMessages(String fate) {
        return !fate.startsWith("refused") && !fate.startsWith("held") && !fate.equals("delivered");
    }

    /** A message of the first holder, and how long after it something happens. */
    private record Trigger(String name, int number, int afterMillis) {
        private static Trigger parse(String text) {
            String[] parts = text.split(" #| \\+");
            return new Trigger(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
        }

        @Override
        public String toString() {
            return name + " #" + number + " +" + afterMillis;
        }
    }

    private record Schedule(
            String primary,
            Trigger trigger,
            String holder,
            int watchHold,
            String fate,
            String sequel) {
        private static Schedule undisturbed(String primary) {
            return new Schedule(
                    primary, new Trigger(NONE, 0, 0), NONE, 0, PROMOTION + " delivered", NONE);
        }

        private static Schedule parse(String text) {
            String[] parts = text.split(", ");
            return new Schedule(
                    parts[0],
                    Trigger.parse(parts[1]),
                    parts[2],
                    Integer.parseInt(parts[3]),
                    parts[4],
                    parts[5]);
        }

        private boolean harms(String name, int count) {
            return fate.startsWith(PROMOTION)
                    ? name.startsWith(PROMOTION) && count == 1
                    : name.equals(trigger.name()) && count == trigger.number();
        }

        private String messageFate() {
            return fate.substring(fate.indexOf(' ') + 1);
        }

        @Override
        public String toString() {
            return String.join(
                    ", ",
                    primary,
                    trigger.toString(),
                    holder,
                    Integer.toString(watchHold),
                    fate,
                    sequel);
        }
    }

    /** A schedule that is being played. */
    private static final class Play {
        private final Schedule schedule;
        private final FailoverPlay play = new FailoverPlay(false, PROCESSES);
        private final FailoverFixture fixture = play.fixture;
        private final Map<String, Integer> counts = new TreeMap<>();
        private Optional<String> holder = Optional.empty();
        private Optional<FakeInstance> promoted = Optional.empty();
        private int refusals;
        private boolean sequelStarted;
        private boolean tracing;

        private Play(Schedule schedule) {
            this.schedule = schedule;
        }

        /** Votes decide only if the members are stable, and replicas differ by their delays. */
        private String run() {
            fixture.instance("b").setReplicationDelay(Duration.ofMillis(3));
            fixture.instance("c").setReplicationDelay(Duration.ofMillis(60));
            fixture.advanceMillis(15_000);
            play.advance(1_000);
            fixture.service.onRolesChanged(this::onRolesChanged);
            fixture.service.refusePromotionsOf(h -> refusals-- > 0);
            fixture.filter = this::fateOf;
            PRIMARY_FATES.get(schedule.primary()).accept(this);
            play.advance(FAULT_MILLIS);
            fixture.processes.forEach(p -> p.storeClient.holdWatch(false));
            play.endFaults();
            demoteFormerPrimaries();
            fixture.putEntries();
            return play.findViolationAfter(RECOVERY_MILLIS);
        }

        private String runAndCollect(Map<String, List<Trigger>> triggers) {
            String violation = run();
            List<Trigger> found = new ArrayList<>();
            counts.forEach(
                    (name, count) ->
                            IntStream.rangeClosed(1, Math.min(count, MAX_NUMBER))
                                    .forEach(
                                            n -> {
                                                found.add(new Trigger(name, n, 0));
                                                if (name.startsWith(PROMOTION)) {
                                                    found.add(new Trigger(name, n, 6));
                                                    found.add(new Trigger(name, n, 500));
                                                }
                                            }));
            triggers.put(schedule.primary(), found);
            return violation;
        }

        private Fate fateOf(String message) {
            if (holder.isEmpty() && message.endsWith(" GRANT")) {
                holder = Optional.of(message.split(" ")[0]);
            }
            String name = message.substring(message.indexOf(' ') + 1);
            boolean ofHolder = holder.filter(h -> message.startsWith(h + " ")).isPresent();
            int count = ofHolder ? counts.merge(name, 1, Integer::sum) : 0;
            if (ofHolder
                    && name.equals(schedule.trigger().name())
                    && count == schedule.trigger().number()) {
                after(schedule.trigger().afterMillis(), this::disturb);
            }
            boolean harmed = ofHolder && schedule.harms(name, count);
            if (tracing) {
                System.err.println(
                        millis() + " " + message + (harmed ? " IS " + schedule.fate() : ""));
            }
            if (harmed && schedule.messageFate().startsWith("refused")) {
                refusals = schedule.messageFate().equals("refused once") ? 1 : 10;
            }
            return harmed ? MESSAGE_FATES.get(schedule.messageFate()) : Fate.DELIVERED;
        }

        private long millis() {
            return fixture.clock.nanoTime() / 1_000_000;
        }

        private void disturb() {
            trace("DISTURBED");
            HOLDER_FATES.get(schedule.holder()).accept(this);
            if (schedule.watchHold() > 0) {
                others().forEach(p -> p.storeClient.holdWatch(true));
                after(
                        schedule.watchHold(),
                        () -> others().forEach(p -> p.storeClient.holdWatch(false)));
            }
        }

        private void onRolesChanged() {
            demoteFormerPrimaries();
            fixture.putEntries();
            List<FakeInstance> primaries =
                    fixture.service.instances().stream().filter(FakeInstance::isPrimary).toList();
            trace("PRIMARIES " + primaries.stream().map(FakeInstance::id).toList());
            if (!sequelStarted) {
                sequelStarted = true;
                promoted =
                        fixture.service.instances().stream()
                                .filter(i -> i.term().number() > 1 && i.isPrimary())
                                .findFirst();
                SEQUELS.get(schedule.sequel()).accept(this);
            }
        }

        /** A primary that was replaced while it was not running starts as a replica. */
        private void demoteFormerPrimaries() {
            fixture.service.instances().stream()
                    .filter(i -> i.isPrimary() && i.isCrashed())
                    .forEach(
                            i ->
                                    fixture.service.instances().stream()
                                            .filter(n -> n.term().isAfter(i.term()))
                                            .findFirst()
                                            .ifPresent(n -> i.demote(n.term())));
        }

        private void trace(String event) {
            if (tracing) {
                System.err.println(millis() + " " + event);
            }
        }

        private FailoverFixture.Process holderProcess() {
            return fixture.processes.stream()
                    .filter(p -> holder.equals(Optional.of(p.vm().value())))
                    .findFirst()
                    .orElseThrow();
        }

        private List<FailoverFixture.Process> others() {
            return fixture.processes.stream()
                    .filter(p -> !holder.equals(Optional.of(p.vm().value())))
                    .toList();
        }

        private void endLease() {
            fixture.store.get(LEASE).ifPresent(h -> fixture.store.endLeaseOf(LEASE));
        }

        private void after(int millis, Runnable task) {
            if (millis == 0) {
                task.run();
            } else {
                fixture.clock.schedule(task, Duration.ofMillis(millis));
            }
        }

        private void crashPromoted(int delayMillis, int downMillis, boolean receives) {
            FakeInstance instance = promoted.orElseThrow();
            after(delayMillis, () -> crash(instance));
            after(
                    delayMillis + downMillis,
                    () -> {
                        trace("RECOVERS " + instance.id());
                        instance.setReplicationBlocked(!receives);
                        instance.recover();
                        demoteFormerPrimaries();
                        fixture.putEntries();
                    });
        }

        private void crash(FakeInstance instance) {
            trace("CRASHES " + instance.id());
            instance.crash();
        }

        private void recover(FakeInstance instance) {
            trace("RECOVERS " + instance.id());
            instance.recover();
            fixture.putEntries();
        }
    }

    private static Map<String, Consumer<Play>> primaryFates() {
        Map<String, Consumer<Play>> fates = new LinkedHashMap<>();
        fates.put("crashes", p -> p.crash(p.fixture.instance("a")));
        fates.put(
                "silent 2000 ms",
                p -> {
                    p.fixture.instance("a").stopResponding();
                    p.after(2_000, p.fixture.instance("a")::recover);
                });
        fates.put("unreachable for three", p -> p.fixture.cutOffPrimary(0, 1, 2));
        fates.put("drains", p -> p.play.drainPrimary());
        return fates;
    }

    private static Map<String, Consumer<Play>> holderFates() {
        Map<String, Consumer<Play>> fates = new LinkedHashMap<>();
        fates.put(NONE, p -> {});
        fates.put("lease ends", Play::endLease);
        fates.put(
                "lease ends and store rejects",
                p -> {
                    p.holderProcess().storeClient.setReachable(false);
                    p.endLease();
                });
        fates.put(
                "store rejects for 5 s",
                p -> {
                    p.holderProcess().storeClient.setReachable(false);
                    p.after(5_000, () -> p.holderProcess().storeClient.setReachable(true));
                });
        for (int millis : List.of(500, 1_500, 3_000, 5_000)) {
            Duration length = Duration.ofMillis(millis);
            fates.put("suspended " + millis, p -> p.holderProcess().suspend(length, true));
            fates.put(
                    "suspended " + millis + " uncounted",
                    p -> p.holderProcess().suspend(length, false));
        }
        fates.put(
                "lease ends and suspended 1500",
                p -> {
                    p.endLease();
                    p.holderProcess().suspend(Duration.ofMillis(1_500), true);
                });
        fates.put("ends", p -> p.fixture.restart(p.fixture.processes.indexOf(p.holderProcess())));
        return fates;
    }

    private static Map<String, Fate> messageFates() {
        Map<String, Fate> fates = new LinkedHashMap<>();
        fates.put("delivered", Fate.DELIVERED);
        fates.put("lost", Fate.LOST);
        fates.put("answer lost", Fate.ANSWER_LOST);
        fates.put("refused once", Fate.DELIVERED);
        fates.put("refused ten times", Fate.DELIVERED);
        Stream.of(1, 3, 5, 8, 11)
                .forEach(s -> fates.put("late " + s + " s", Fate.late(Duration.ofSeconds(s))));
        Stream.of(1, 2, 4)
                .forEach(s -> fates.put("held up " + s + " s", Fate.heldUp(Duration.ofSeconds(s))));
        return fates;
    }

    private static Map<String, Consumer<Play>> sequels() {
        Map<String, Consumer<Play>> sequels = new LinkedHashMap<>();
        sequels.put(NONE, p -> {});
        Stream.of(300, 1_000, 3_000, 8_000)
                .forEach(
                        millis ->
                                sequels.put(
                                        "promoted crashes after " + millis,
                                        p -> {
                                            p.recover(p.fixture.instance("a"));
                                            p.crashPromoted(millis, 2_000, false);
                                        }));
        sequels.put(
                "promoted crashes after 1000 and receives",
                p -> p.crashPromoted(1_000, 2_000, true));
        sequels.put("old primary returns", p -> p.recover(p.fixture.instance("a")));
        sequels.put(
                "replica restarts",
                p ->
                        Stream.of("b", "c")
                                .map(p.fixture::instance)
                                .filter(i -> !p.promoted.equals(Optional.of(i)))
                                .forEach(
                                        i -> {
                                            p.crash(i);
                                            p.after(200, () -> p.recover(i));
                                        }));
        sequels.put(
                "holder ends",
                p -> p.fixture.restart(p.fixture.processes.indexOf(p.holderProcess())));
        return sequels;
    }
}
