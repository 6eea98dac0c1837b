package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.carobstage.upstream.SimulatedLoad.Kind;
import org.carobstage.upstream.SimulatedLoad.Outcomes;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each test is named after its load and compares the order by deadline with that by priority. */
class AdmissionLoadTest {
    private static final Duration PERIOD = Duration.ofSeconds(6);

    /**
     * The largest account has 28 % of the usual 105 requests per second and sends 7.5 times that.
     */
    private static final double FLOOD_PER_SECOND = 7.5 * 0.28 * 105;

    // Guards against a burst of low priority that delays high priority, and against its starvation.
    @Test
    void shouldKeepTargetOfHighPriorityWhenBurstOfLowPriorityArrivesBefore() {
        SimulatedLoad load = compare("burst of low priority", this::sendBurstOfLowPriority);

        assertThat(inTimeShare(load.outcomes(o -> o.kind == Kind.HIGH))).isGreaterThan(0.9);
        assertThat(servedShare(load.outcomes(o -> o.kind == Kind.LOW))).isGreaterThan(0.75);
    }

    // Guards against reads of low worth that crowd out the writes while replicas lag.
    @Test
    void shouldKeepTargetOfHighPriorityWhenReplicasLagAndReadsMoveToThePrimary() {
        SimulatedLoad load = compare("replicas lag", this::sendReadsOfReplicas);

        assertThat(inTimeShare(load.outcomes(o -> o.kind == Kind.HIGH))).isGreaterThan(0.95);
        assertThat(servedShare(load.outcomes(o -> o.kind == Kind.LOW))).isGreaterThan(0.8);
    }

    // Guards against writes that return in the order of arrival, and against false retry times.
    @Test
    void shouldServeInOrderOfWorthAndTellTrueRetryTimeWhenWritesReturnAfterPromotion() {
        SimulatedLoad load = compare("writes return", this::replacePrimary);
        Outcomes high = load.outcomes(o -> o.kind == Kind.HIGH);
        Outcomes all = load.outcomes(o -> true);

        assertThat(inTimeShare(high)).isGreaterThan(0.7);
        assertThat(high.retries()).isPositive();
        assertThat((double) all.retriesServed() / all.retries()).isGreaterThan(0.85);
    }

    // Guards against idle transactions that pin all connections until their idle timeout.
    @Test
    void shouldServeStatementsWhenIdleTransactionsPinAllConnections() {
        SimulatedLoad load =
                compare(
                        "idle transactions",
                        l -> {
                            l.pinConnections(2, PERIOD);
                            sendUsual(l, PERIOD);
                        });

        assertThat(load.preemptedCount()).isPositive();
        assertThat(servedShare(load.outcomes(o -> true))).isGreaterThan(0.9);
    }

    // Guards against a flood of one account that takes the room of requests of all worths.
    @Test
    void shouldServeMoreWorthWhenOneAccountFloods() {
        SimulatedLoad load = compare("one account floods", this::sendFlood);

        assertThat(servedShare(load.outcomes(o -> o.kind == Kind.HIGH))).isGreaterThan(0.95);
    }

    // Guards against a flood of one account that delays the others at the same priority.
    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void shouldKeepLatencyOfOtherAccountsWhenOneAccountFloods(long seed) {
        SimulatedLoad load = new SimulatedLoad(AdmissionOrder.PRIORITY, seed);
        sendFlood(load);
        load.run(PERIOD.multipliedBy(2));

        Outcomes others =
                load.outcomes(o -> o.kind == Kind.HIGH && !o.account.equals(Optional.of("flood")));
        assertThat(inTimeShare(others)).isGreaterThan(0.95);
    }

    // Guards against a slow instance that is taken for one with a queue, so that requests wait.
    @Test
    void shouldServeAllInTimeWhenInstanceIsSlow() {
        SimulatedLoad load =
                compare(
                        "slow instance",
                        l -> {
                            sendUsual(l, PERIOD);
                            l.run(Duration.ofSeconds(1));
                            l.instance.slowDown(2);
                        });

        assertThat(inTimeShare(load.outcomes(o -> true))).isEqualTo(1);
    }

    private void sendFlood(SimulatedLoad load) {
        IntStream.range(0, 3)
                .mapToObj(i -> Optional.of("a" + i))
                .forEach(account -> sendUsual(load, account, 1, PERIOD));
        load.send(Kind.HIGH, Optional.of("flood"), FLOOD_PER_SECOND, PERIOD);
    }

    private void sendBurstOfLowPriority(SimulatedLoad load) {
        sendUsual(load, PERIOD);
        load.run(Duration.ofSeconds(1));
        load.send(Kind.LOW, Optional.empty(), 600, Duration.ofMillis(500));
    }

    private void sendReadsOfReplicas(SimulatedLoad load) {
        load.send(Kind.HIGH, Optional.empty(), 60, PERIOD);
        load.send(Kind.MIDDLE, Optional.empty(), 110, PERIOD);
        load.send(Kind.LOW, Optional.empty(), 60, PERIOD);
    }

    private void replacePrimary(SimulatedLoad load) {
        load.withRetries();
        sendUsual(load, PERIOD);
        load.run(Duration.ofSeconds(1));
        load.instance.setDown(true);
        load.run(Duration.ofMillis(1_400));
        load.instance.setDown(false);
    }

    /** Sends the usual load of clients without accounts, which share connections. */
    private static void sendUsual(SimulatedLoad load, Duration period) {
        sendUsual(load, Optional.empty(), 3, period);
    }

    private static void sendUsual(
            SimulatedLoad load, Optional<String> account, int factor, Duration period) {
        load.send(Kind.HIGH, account, 20 * factor, period);
        load.send(Kind.MIDDLE, account, 10 * factor, period);
        load.send(Kind.LOW, account, 5 * factor, period);
    }

    /** Prints the outcomes in both orders and returns the load in the order by priority. */
    private static SimulatedLoad compare(String name, Consumer<SimulatedLoad> sender) {
        SimulatedLoad byDeadline = run(AdmissionOrder.DEADLINE, name, sender);
        SimulatedLoad byPriority = run(AdmissionOrder.PRIORITY, name, sender);
        assertThat(byPriority.outcomes(o -> true).worth())
                .isGreaterThanOrEqualTo(byDeadline.outcomes(o -> true).worth());
        return byPriority;
    }

    private static SimulatedLoad run(
            AdmissionOrder order, String name, Consumer<SimulatedLoad> sender) {
        SimulatedLoad load = new SimulatedLoad(order, 1);
        sender.accept(load);
        load.run(PERIOD.multipliedBy(2));
        Arrays.stream(Kind.values())
                .forEach(
                        kind ->
                                System.out.println(
                                        "LOAD "
                                                + name
                                                + " "
                                                + order
                                                + " "
                                                + kind
                                                + " "
                                                + load.outcomes(o -> o.kind == kind)));
        return load;
    }

    private static double inTimeShare(Outcomes outcomes) {
        return (double) outcomes.inTime() / outcomes.total();
    }

    private static double servedShare(Outcomes outcomes) {
        return (double) (outcomes.inTime() + outcomes.late()) / outcomes.total();
    }
}
