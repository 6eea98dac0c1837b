package org.carobstage.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.carobstage.event.EventLog;
import org.carobstage.model.AccountName;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.carobstage.upstream.ConnectionRequest.Purpose;

/** Processes that share one instance, and the requests that their clients send. */
final class SimulatedLoad {
    private static final Pattern RETRY_AFTER = Pattern.compile("retry after (\\d+) ms");
    private static final int PROCESSES = 31;
    private static final int CONNECTIONS = 2;

    final ManualClock clock = ManualClock.of(Instant.EPOCH);
    final SimulatedInstance instance = new SimulatedInstance(clock);
    final List<Operation> operations = new ArrayList<>();
    private final List<ServiceGroup> processes;
    private final Random random;

    /** A source of its own, so that the load is the same whatever the processes draw. */
    private final Random jitter = new Random(2);

    private boolean retrying;
    private int preempted;

    SimulatedLoad(AdmissionOrder order, long seed) {
        random = new Random(seed);
        UpstreamContext context =
                new UpstreamContext(
                                clock,
                                instance.connector(),
                                FailureDomain.of("domain"),
                                EventLog.of(VmId.of("vm"), clock, 1),
                                false,
                                jitter::nextDouble)
                        .withAdmission(order, this::count);
        processes =
                IntStream.range(0, PROCESSES)
                        .mapToObj(i -> ServiceGroup.of(SimulatedInstance.SERVICE, context))
                        .toList();
        processes.forEach(this::start);
        run(Duration.ofSeconds(2));
    }

    /** Lets rejected clients retry once, at the time that they were told. */
    SimulatedLoad withRetries() {
        retrying = true;
        return this;
    }

    int preemptedCount() {
        return preempted;
    }

    /** Sends requests at random times, on average at a rate, for a period from now on. */
    void send(Kind kind, Optional<String> account, double perSecond, Duration period) {
        double nanos = -Math.log(1 - random.nextDouble()) / perSecond * 1e9;
        while (nanos < period.toNanos()) {
            ServiceGroup process = processes.get(random.nextInt(PROCESSES));
            clock.schedule(
                    () -> new Operation(kind, account, process, false).start(),
                    Duration.ofNanos((long) nanos));
            nanos += -Math.log(1 - random.nextDouble()) / perSecond * 1e9;
        }
    }

    /** Lets clients begin transactions, write and stay idle; each holds a connection for 3 s. */
    void pinConnections(int perProcess, Duration period) {
        long end = clock.nanoTime() + period.toNanos();
        processes.forEach(
                p -> IntStream.range(0, perProcess).forEach(i -> beginTransaction(p, end)));
    }

    void run(Duration period) {
        clock.advance(period);
    }

    Outcomes outcomes(Predicate<Operation> filter) {
        return Outcomes.of(operations.stream().filter(o -> !o.isRetry).filter(filter).toList());
    }

    private void start(ServiceGroup process) {
        process.setConnectionLimit(CONNECTIONS, PROCESSES);
        process.put(instance.entry());
        tick(process);
    }

    private void tick(ServiceGroup process) {
        process.tick();
        clock.schedule(() -> tick(process), Duration.ofMillis(50));
    }

    private void count(String name, long value) {
        preempted += name.startsWith("transactions_preempted") ? (int) value : 0;
    }

    private void beginTransaction(ServiceGroup process, long endNanos) {
        long nowNanos = clock.nanoTime();
        if (nowNanos >= endNanos) {
            return;
        }
        long deadline = nowNanos + Kind.HIGH.timeout.toNanos();
        process.acquire(
                new ConnectionRequest(
                        new RequestOrigin(
                                Optional.empty(), 0, nowNanos + Kind.HIGH.target.toNanos()),
                        Purpose.PRIMARY_TRANSACTION,
                        Set.of(),
                        Map.of(),
                        deadline,
                        c ->
                                c.send(
                                        "b",
                                        Optional.empty(),
                                        new Statement.Begin(false),
                                        r -> stayIdle(process, c, endNanos)),
                        reason -> beginLater(process, endNanos)));
    }

    private void stayIdle(ServiceGroup process, PooledConnection connection, long endNanos) {
        Runnable[] rollback = new Runnable[1];
        Duration timeout = Duration.ofSeconds(3);
        var timer = clock.schedule(() -> rollback[0].run(), timeout);
        rollback[0] =
                () -> {
                    timer.cancel();
                    connection.release();
                    beginLater(process, endNanos);
                };
        long nowNanos = clock.nanoTime();
        connection.markTransactionIdle(
                new IdleTransaction(nowNanos, nowNanos + timeout.toNanos(), rollback[0]));
    }

    private void beginLater(ServiceGroup process, long endNanos) {
        clock.schedule(() -> beginTransaction(process, endNanos), Duration.ofMillis(100));
    }

    /** The kinds of requests with their worth. */
    enum Kind {
        HIGH(0, 252, 1_000, 11, 3.5, 0.43),
        MIDDLE(1, 502, 1_000, 33, 1.9, 0.28),
        LOW(2, 1_502, 3_000, 55, 0.47, 0.21);

        final int priority;
        final Duration target;
        final Duration timeout;
        final int workMillis;
        final double worth;
        final double lateFraction;

        Kind(
                int priority,
                int targetMillis,
                int timeoutMillis,
                int workMillis,
                double worth,
                double lateFraction) {
            this.priority = priority;
            this.target = Duration.ofMillis(targetMillis);
            this.timeout = Duration.ofMillis(timeoutMillis);
            this.workMillis = workMillis;
            this.worth = worth;
            this.lateFraction = lateFraction;
        }
    }

    /**
     * Counts of operations.
     *
     * @param inTime completed within the target latency
     * @param late completed after it
     * @param rejectedAtOnce rejected without a wait
     * @param rejectedLate rejected after a wait, or timed out
     * @param retries rejected ones that were sent again at the time told
     * @param retriesServed those of them that were completed
     * @param worth the sum of the worth of the completed ones
     */
    record Outcomes(
            long inTime,
            long late,
            long rejectedAtOnce,
            long rejectedLate,
            long retries,
            long retriesServed,
            double worth) {
        private static Outcomes of(List<Operation> all) {
            return new Outcomes(
                    all.stream().filter(Operation::isInTime).count(),
                    all.stream().filter(o -> o.isServed() && !o.isInTime()).count(),
                    all.stream().filter(o -> o.isRejected() && o.latencyNanos == 0).count(),
                    all.stream().filter(o -> o.isRejected() && o.latencyNanos > 0).count(),
                    all.stream().filter(o -> o.retry.isPresent()).count(),
                    all.stream()
                            .filter(o -> o.retry.filter(Operation::isServed).isPresent())
                            .count(),
                    all.stream().mapToDouble(Operation::worth).sum());
        }

        long total() {
            return inTime + late + rejectedAtOnce + rejectedLate;
        }
    }

    /** A single statement of a client. */
    final class Operation {
        final Kind kind;
        final Optional<String> account;
        private final ServiceGroup process;
        private final boolean isRetry;
        private final long startNanos = clock.nanoTime();
        private final long deadlineNanos;
        private ConnectionRequest request;
        private int attempts;
        private boolean done;
        private boolean served;
        private long latencyNanos;
        private Optional<Operation> retry = Optional.empty();

        private Operation(
                Kind kind, Optional<String> account, ServiceGroup process, boolean isRetry) {
            this.kind = kind;
            this.account = account;
            this.process = process;
            this.isRetry = isRetry;
            this.deadlineNanos = startNanos + kind.timeout.toNanos();
            operations.add(this);
        }

        boolean isServed() {
            return served;
        }

        boolean isInTime() {
            return served && latencyNanos <= kind.target.toNanos();
        }

        Duration sentAt() {
            return Duration.ofNanos(startNanos);
        }

        private boolean isRejected() {
            return done && !served;
        }

        private double worth() {
            return served ? kind.worth * (isInTime() ? 1 : kind.lateFraction) : 0;
        }

        private void start() {
            clock.schedule(this::onTimeout, kind.timeout);
            acquire();
        }

        private void acquire() {
            if (done) {
                return;
            }
            attempts++;
            request =
                    new ConnectionRequest(
                                    new RequestOrigin(
                                            account.map(AccountName::of),
                                            kind.priority,
                                            startNanos + kind.target.toNanos()),
                                    Purpose.PRIMARY,
                                    Set.of(),
                                    Map.of(),
                                    deadlineNanos,
                                    this::onGranted,
                                    this::onRejected)
                            .withAttempt(attempts);
            process.acquire(request);
        }

        private void onGranted(PooledConnection connection) {
            connection.send(
                    "r",
                    Optional.empty(),
                    new Statement.Read(String.valueOf(kind.workMillis)),
                    result -> {
                        connection.release();
                        onResult(result);
                    });
        }

        private void onResult(Optional<StatementResult> result) {
            if (result.filter(StatementResult::isSuccessful).isPresent()) {
                finish(true);
            } else {
                clock.schedule(this::acquire, Duration.ofMillis(10L * attempts));
            }
        }

        private void onRejected(String reason) {
            if (done) {
                return;
            }
            finish(false);
            Matcher matcher = RETRY_AFTER.matcher(reason);
            if (retrying && !isRetry && matcher.find()) {
                Duration delay = Duration.ofMillis(Long.parseLong(matcher.group(1)));
                clock.schedule(
                        () -> {
                            retry = Optional.of(new Operation(kind, account, process, true));
                            retry.get().start();
                        },
                        delay);
            }
        }

        private void onTimeout() {
            if (!done) {
                process.cancel(request);
                finish(false);
            }
        }

        private void finish(boolean isServed) {
            if (!done) {
                done = true;
                served = isServed;
                latencyNanos = clock.nanoTime() - startNanos;
            }
        }
    }
}
