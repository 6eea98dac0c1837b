package org.carobstage.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;

/** Plays processes, the links between them and the leases of the store on paused clocks. */
final class QuotaPlay {
    static final int LEASE_MILLIS = 3_000;

    /** Members stay known for as long as they may use their share. */
    private static final int MEMBER_LEASE_MILLIS = 18_000;

    /** The times from the registration until owners withhold a share, and until it is used. */
    private static final int ESTABLISHED_MILLIS = 16_000;

    private static final int SHARING_MILLIS = 21_000;

    /** An owner stops this much before its lease ends. */
    private static final int LEASE_MARGIN_MILLIS = 200;

    final QuotaPolicy policy;
    final int stepMillis;
    private final List<QuotaShard> shards = new ArrayList<>();
    final List<Process> processes = new ArrayList<>();
    final Map<AccountName, RateLimit> limits = new HashMap<>();
    final Map<QuotaShard, Ownership> owners = new HashMap<>();
    final Map<String, Long> marks = new HashMap<>();
    private final Map<VmId, Long> registered = new HashMap<>();
    private final Map<VmId, Long> announced = new HashMap<>();
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::number));
    private final Map<AccountName, List<Long>> permitted = new HashMap<>();
    private Set<VmId> members = Set.of();
    private long now;
    private long nextNumber;
    private long eraStart = Long.MIN_VALUE / 2;
    private long ownershipNumber;

    QuotaPlay(QuotaPolicy policy, int count, int stepMillis) {
        this.policy = policy;
        this.stepMillis = stepMillis;
        IntStream.range(0, count).forEach(i -> join());
        processes.forEach(p -> announced.put(p.id, -(long) SHARING_MILLIS));
    }

    Process join() {
        Process process = new Process("vm" + processes.size());
        processes.add(process);
        return process;
    }

    /** Sets the limit of an account for all processes. */
    void limit(AccountName account, RateLimit limit) {
        limits.put(account, limit);
        if (!shards.contains(QuotaShard.of(account))) {
            shards.add(QuotaShard.of(account));
        }
    }

    /** Loses all registrations, as a store without its history does. */
    void loseRegistrations() {
        registered.clear();
    }

    long now() {
        return now;
    }

    long[] permitted(AccountName account) {
        return permitted.getOrDefault(account, List.of()).stream()
                .mapToLong(Long::longValue)
                .toArray();
    }

    /** Returns the most operations of an account in any window that starts within the range. */
    long mostInWindow(AccountName account, long from, long to) {
        long[] times = permitted(account);
        long most = 0;
        int end = 0;
        for (int i = 0; i < times.length; i++) {
            while (end < times.length && times[end] <= times[i] + policy.window().toMillis()) {
                end++;
            }
            most = times[i] >= from && times[i] < to ? Math.max(most, end - i) : most;
        }
        return most;
    }

    double bound(RateLimit limit) {
        return (limit.operationsPerSecond() * policy.window().toMillis() / 1e3 + limit.burst())
                        * (1 + policy.excess())
                + policy.slack();
    }

    /** Restores the store from a copy: leases of the old era end unnoticed. */
    void restoreStore() {
        eraStart = now;
        owners.clear();
        processes.stream()
                .filter(p -> p.storeReachable && p.isRunning())
                .forEach(p -> p.knownOwners.keySet().forEach(p.ledger::stopOwning));
    }

    void advance(int millis, Runnable load) {
        for (int i = 0; i < millis; i += stepMillis) {
            now += stepMillis;
            processes.forEach(Process::advanceClock);
            updateStore();
            while (!deliveries.isEmpty() && deliveries.peek().at <= now) {
                Delivery delivery = deliveries.poll();
                delivery.to.receive(delivery.run);
            }
            processes.stream().filter(Process::isRunning).forEach(Process::step);
            load.run();
        }
    }

    /** Returns whether a process that is not registered has to begin as a new one. */
    private boolean isLapsed(VmId id) {
        return find(id).filter(p -> now - p.renewedAt < 15_000).isEmpty();
    }

    private void updateStore() {
        processes.stream()
                .filter(p -> p.isRunning() && p.storeReachable && now >= p.renewAt)
                .forEach(Process::renew);
        registered.values().removeIf(end -> end <= now);
        announced.keySet().removeIf(id -> !registered.containsKey(id) && isLapsed(id));
        if (!registered.keySet().equals(members)) {
            members = Set.copyOf(registered.keySet());
        }
        owners.values().removeIf(owner -> owner.leaseEnd <= now);
        shards.stream()
                .filter(shard -> !owners.containsKey(shard))
                .forEach(
                        shard ->
                                processes.stream()
                                        .filter(p -> p.isRunning() && p.storeReachable)
                                        .filter(p -> !p.stopping)
                                        .skip(processes.size() > 8 ? shard.index() : 0)
                                        .findFirst()
                                        .ifPresent(p -> p.own(shard)));
        processes.stream().filter(p -> p.isRunning() && p.storeReachable).forEach(Process::watch);
    }

    private void send(Process from, Process to, Runnable run) {
        Link link = from.link(to);
        if (link.cut || link.lossPeriod > 0 && nextNumber % link.lossPeriod == 0) {
            nextNumber++;
            return;
        }
        for (int i = 0; i < link.copies; i++) {
            // A message to the same process arrives in the next step, others within it or later.
            long at = now + link.delayMillis + i * 40L + (from == to ? 0 : 1);
            deliveries.add(new Delivery(at, nextNumber++, to, run));
        }
    }

    static final class Link {
        boolean cut;
        int lossPeriod;
        int delayMillis;
        int copies = 1;
    }

    static final class Ownership {
        final Process process;
        final GrantLedger run;
        final long number;
        long leaseEnd;

        private Ownership(Process process, long number, long leaseEnd) {
            this.process = process;
            this.run = process.ledger;
            this.number = number;
            this.leaseEnd = leaseEnd;
        }
    }

    private record Delivery(long at, long number, Process to, Runnable run) {}

    final class Process {
        final VmId id;
        final Map<Process, Link> links = new HashMap<>();
        private final List<Runnable> received = new ArrayList<>();
        private final Map<QuotaShard, Long> knownOwners = new HashMap<>();
        ManualClock clock = ManualClock.of(Instant.ofEpochSecond(1_700_000_000));
        GrantLedger ledger;
        QuotaLimiter limiter;
        long rejected;
        boolean alive = true;
        boolean stopping;
        boolean storeReachable = true;
        long frozenUntil;
        long suspendedUntil;
        private Set<VmId> knownMembers = Set.of();
        private Set<VmId> knownEstablished = Set.of();
        private long renewAt;
        private long renewedAt;

        private Process(String id) {
            this.id = VmId.of(id);
            start();
        }

        void start() {
            ledger = GrantLedger.of(name -> Optional.ofNullable(limits.get(name)));
            limiter =
                    QuotaLimiter.of(
                            this.id,
                            policy,
                            name -> Optional.ofNullable(limits.get(name)),
                            (owner, request) -> find(owner).ifPresent(to -> request(to, request)),
                            clock);
            knownMembers = Set.of();
            knownEstablished = Set.of();
            knownOwners.clear();
            received.clear();
            alive = true;
            stopping = false;
            renewAt = 0;
            if (!registered.containsKey(this.id)) {
                announced.remove(this.id);
            }
        }

        void kill() {
            alive = false;
            received.clear();
        }

        /** Stops granting, then deletes the keys, then leaves. */
        void stop() {
            stopping = true;
            shards.forEach(ledger::stopOwning);
            owners.values().removeIf(owner -> owner.process == this);
        }

        boolean isRunning() {
            return alive && now >= frozenUntil && now >= suspendedUntil;
        }

        Link link(Process to) {
            return links.computeIfAbsent(to, p -> new Link());
        }

        boolean acquire(AccountName account) {
            boolean[] answered = new boolean[1];
            limiter.acquire(
                    account,
                    decision -> {
                        if (answered[0]) {
                            throw new IllegalStateException("decided twice");
                        }
                        answered[0] = true;
                        if (decision instanceof OperationLimiter.Decision.Permitted) {
                            permitted.computeIfAbsent(account, n -> new ArrayList<>()).add(now);
                        } else {
                            rejected++;
                        }
                    });
            return answered[0];
        }

        long standalonePermitted() {
            return limiter.counters().values().stream()
                    .mapToLong(QuotaCounters::standalonePermitted)
                    .sum();
        }

        private void request(Process to, QuotaRequest request) {
            send(
                    this,
                    to,
                    () -> {
                        QuotaResponse response =
                                to.ledger.onRequest(id, request, ClockReading.now(to.clock));
                        send(to, this, () -> limiter.onResponse(to.id, response));
                    });
        }

        private void advanceClock() {
            if (now <= suspendedUntil) {
                clock.suspend(Duration.ofMillis(stepMillis));
            } else {
                clock.advance(Duration.ofMillis(stepMillis));
            }
        }

        private void receive(Runnable run) {
            if (isRunning()) {
                run.run();
            } else if (alive) {
                received.add(run);
            }
        }

        private void step() {
            List<Runnable> waiting = List.copyOf(received);
            received.clear();
            waiting.forEach(Runnable::run);
            limiter.onTick();
        }

        private void renew() {
            renewAt = now + 1_000;
            renewedAt = now;
            ClockReading reading = ClockReading.now(clock);
            registered.put(id, now + MEMBER_LEASE_MILLIS);
            if (now - announced.computeIfAbsent(id, i -> now) >= SHARING_MILLIS) {
                limiter.onRegistered(reading);
            }
            owners.forEach(
                    (shard, owner) -> {
                        if (owner.run == ledger) {
                            owner.leaseEnd = now + LEASE_MILLIS;
                            ledger.extendOwning(shard, leaseEnd(reading));
                        }
                    });
        }

        private void own(QuotaShard shard) {
            ClockReading reading = ClockReading.now(clock);
            long wait = Math.max(0, eraStart + LEASE_MILLIS - now) * 1_000_000;
            owners.put(shard, new Ownership(this, ++ownershipNumber, now + LEASE_MILLIS));
            ledger.startOwning(
                    shard,
                    reading,
                    new ClockReading(reading.monotonicNanos() + wait, reading.epochNanos() + wait));
            ledger.extendOwning(shard, leaseEnd(reading));
        }

        private void watch() {
            if (knownMembers != members) {
                knownMembers = members;
                limiter.onMembers(members);
            }
            Set<VmId> established =
                    members.stream()
                            .filter(m -> now - announced.get(m) >= ESTABLISHED_MILLIS)
                            .collect(Collectors.toSet());
            if (!established.equals(knownEstablished)) {
                knownEstablished = established;
                ledger.onMembers(established, ClockReading.now(clock));
            }
            shards.forEach(
                    shard -> {
                        Optional<Ownership> owner = Optional.ofNullable(owners.get(shard));
                        Long number = owner.map(o -> o.number).orElse(0L);
                        if (!number.equals(knownOwners.put(shard, number))) {
                            limiter.onOwnerChanged(shard, owner.map(o -> o.process.id));
                        }
                    });
        }

        private ClockReading leaseEnd(ClockReading reading) {
            long length = (LEASE_MILLIS - LEASE_MARGIN_MILLIS) * 1_000_000L;
            return new ClockReading(
                    reading.monotonicNanos() + length, reading.epochNanos() + length);
        }
    }

    Optional<Process> find(VmId id) {
        return processes.stream().filter(p -> p.id.equals(id) && p.alive).findFirst();
    }

    Process owner(AccountName account) {
        return Optional.ofNullable(owners.get(QuotaShard.of(account)))
                .map(o -> o.process)
                .orElse(processes.get(0));
    }

    Set<Process> others(Process process) {
        return processes.stream()
                .filter(p -> p != process)
                .collect(Collectors.toCollection(HashSet::new));
    }
}
