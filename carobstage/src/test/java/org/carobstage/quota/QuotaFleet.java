package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.carobstage.account.AccountTable;
import org.carobstage.account.ClientAccount;
import org.carobstage.account.RateLimit;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeMetadataStore;
import org.carobstage.fake.FakePeerNetwork;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.ManualClock;
import org.carobstage.store.StoreWatcher;

/** Several processes whose operations of one account exceed its limit; checks the hard bound. */
final class QuotaFleet {
    static final AccountName ACCOUNT = AccountName.of("steady");
    static final QuotaShard SHARD = QuotaShard.of(ACCOUNT);
    private static final RateLimit LIMIT = new RateLimit(40, 10);
    private static final QuotaPolicy POLICY = QuotaPolicy.standard();
    private static final Duration MEMBER_LEASE = Duration.ofSeconds(3);
    private static final Duration LONGEST_DECISION = Duration.ofMillis(400);

    final ManualClock clock = ManualClock.of(Instant.EPOCH);
    final FakeMetadataStore store = FakeMetadataStore.of(clock);
    final FakePeerNetwork network = FakePeerNetwork.of(clock);
    final Map<VmId, Process> processes = new TreeMap<>();
    private final List<Long> permittedMillis = new ArrayList<>();
    private final List<Long> undecidedMillis = new ArrayList<>();
    private int launched;
    boolean limited = true;

    static QuotaFleet of(int count) {
        QuotaFleet fleet = new QuotaFleet();
        for (int i = 0; i < count; i++) {
            fleet.launch(VmId.of("vm-" + i));
        }
        return fleet;
    }

    /** Starts a process, which replaces an earlier one on its VM. */
    Process launch(VmId vm) {
        Process process = new Process(vm, Address.of("127.0.0.1", 100 + launched++));
        processes.put(vm, process);
        return process;
    }

    Process owner() {
        return processes.values().stream().filter(Process::isOwner).findFirst().orElseThrow();
    }

    Process notOwner() {
        return processes.values().stream().filter(p -> !p.isOwner()).findFirst().orElseThrow();
    }

    /** Requests more operations than are permitted, through some or all processes. */
    void runWithLoad(Duration length, int perSecond, Set<Process> through) {
        long interval = 1_000L * through.size() / perSecond;
        for (long t = 0; t < length.toMillis(); t += interval) {
            through.forEach(Process::requestOperation);
            clock.advance(Duration.ofMillis(interval));
            assertThat(processes.values().stream().filter(Process::isOwner).count()).isLessThan(2);
        }
        assertBound();
    }

    void runWithLoad(Duration length) {
        runWithLoad(length, 200, Set.copyOf(processes.values()));
    }

    /** Advances the clock past tasks that fail, as an event loop does. */
    void advanceIgnoringFailures(Duration step) {
        long end = clock.nanoTime() + step.toNanos();
        while (clock.nanoTime() < end) {
            try {
                clock.advance(Duration.ofNanos(end - clock.nanoTime()));
            } catch (IllegalStateException e) {
                assertThat(e).hasMessage("callback failed");
            }
        }
    }

    long permittedIn(Duration last) {
        long from = now() - last.toMillis();
        return permittedMillis.stream().filter(at -> at >= from).count();
    }

    private AccountTable accounts() {
        Optional<RateLimit> limit = Optional.of(LIMIT).filter(l -> limited);
        return AccountTable.of(List.of(new ClientAccount(ACCOUNT, Set.of(), 0, limit)));
    }

    private long now() {
        return clock.nanoTime() / 1_000_000;
    }

    /** Returns the processes whose membership lease in the store has not ended. */
    private Set<VmId> registeredMembers() {
        ClockReading now = ClockReading.now(clock);
        return processes.values().stream()
                .filter(p -> p.registeredAt.age(now).compareTo(MEMBER_LEASE) < 0)
                .map(p -> p.vm)
                .collect(Collectors.toSet());
    }

    private void assertBound() {
        long window = POLICY.window().toMillis();
        double bound =
                (LIMIT.operationsPerSecond() * window / 1_000 + LIMIT.burst())
                                * (1 + POLICY.excess())
                        + POLICY.slack();
        int next = 0;
        for (int first = 0; first < permittedMillis.size(); first++) {
            long start = permittedMillis.get(first);
            while (next < permittedMillis.size() && permittedMillis.get(next) <= start + window) {
                next++;
            }
            assertThat((double) (next - first)).as("from " + start).isLessThanOrEqualTo(bound);
        }
        assertThat(undecidedMillis)
                .allMatch(requested -> now() - requested < LONGEST_DECISION.toMillis());
    }

    final class Process {
        final VmId vm;
        final FakeMetadataStore.Client client = store.client();
        final EventLog events;
        final QuotaService service;
        private final Address address;
        final PausableClock ownClock = new PausableClock();
        private boolean storeReachable = true;
        private ClockReading registeredAt = ClockReading.now(clock);
        private Set<VmId> knownMembers = Set.of();

        private Process(VmId vm, Address address) {
            this.vm = vm;
            this.address = address;
            this.events = EventLog.of(vm, clock, 10_000);
            this.service =
                    QuotaService.of(
                            new QuotaSettings(POLICY, Optional.of(address)),
                            events,
                            client,
                            ownClock,
                            network.transport(),
                            () -> Optional.of(accounts()));
            StoreWatcher.of(
                            client,
                            clock,
                            events,
                            StoreWatcher.Listener.of(
                                    service::onStoreChange, service::onStoreListed, () -> {}))
                    .start();
            service.start();
            tick();
        }

        private void tick() {
            ownClock.schedule(this::tick, Duration.ofMillis(50));
            if (storeReachable) {
                registeredAt = ClockReading.now(clock);
                knownMembers = registeredMembers();
            }
            service.onMembers(knownMembers);
        }

        /** Cuts the process off from the store, or reconnects it. */
        void setStoreReachable(boolean reachable) {
            storeReachable = reachable;
            client.setReachable(reachable);
        }

        boolean isOwner() {
            return !ownClock.paused && service.metrics().get(name("quota_shards_owned")) > 0;
        }

        double metric(String name) {
            return service.metrics().get(name(name));
        }

        /** Cuts the process off from the others without a reset. */
        void setLinksSilent(boolean silent) {
            network.setSilent(address, silent);
        }

        /** Stops the execution of the process; its clocks go on. */
        void pause() {
            ownClock.paused = true;
            setStoreReachable(false);
            setLinksSilent(true);
        }

        void resume() {
            setStoreReachable(true);
            setLinksSilent(false);
            ownClock.resume();
        }

        void requestOperation() {
            if (ownClock.paused) {
                return;
            }
            Long requested = now();
            undecidedMillis.add(requested);
            service.limiter()
                    .acquire(
                            ACCOUNT,
                            decision -> {
                                assertThat(undecidedMillis.remove(requested)).isTrue();
                                if (decision instanceof OperationLimiter.Decision.Permitted) {
                                    permittedMillis.add(now());
                                }
                            });
        }

        private static String name(String metric) {
            return metric + "{shard=\"" + SHARD.index() + "\"}";
        }
    }

    /** A clock whose timers are delayed while the process is paused. */
    final class PausableClock implements Clock {
        private final List<Runnable> delayed = new ArrayList<>();
        private boolean paused;
        int timers;

        @Override
        public long nanoTime() {
            return clock.nanoTime();
        }

        @Override
        public Instant instant() {
            return clock.instant();
        }

        @Override
        public Timer schedule(Runnable task, Duration delay) {
            timers++;
            return clock.schedule(
                    () -> {
                        if (paused) {
                            delayed.add(task);
                        } else {
                            task.run();
                        }
                    },
                    delay);
        }

        private void resume() {
            paused = false;
            List<Runnable> tasks = List.copyOf(delayed);
            delayed.clear();
            tasks.forEach(Runnable::run);
        }
    }
}
