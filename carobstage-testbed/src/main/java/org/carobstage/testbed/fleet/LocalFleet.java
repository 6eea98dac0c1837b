package org.carobstage.testbed.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import org.carobstage.config.Configuration;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.event.EventLog;
import org.carobstage.membership.Fleet;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.PausedClock;

/** The control parts of many processes on one paused clock. */
public final class LocalFleet {
    private static final int DOMAINS = 8;
    private static final int REGIONS = 3;
    private static final int EVENTS = 64;
    private static final Duration STAGGER = Duration.ofMillis(7);

    private final PausedClock clock;
    private final LocalPlatform platform;
    private final LocalNetwork network;
    private final Map<VmId, Process> processes = new TreeMap<>();

    private LocalFleet(PausedClock clock) {
        this.clock = clock;
        this.platform = LocalPlatform.of(clock);
        this.network = LocalNetwork.of(clock);
    }

    /**
     * Creates a fleet.
     *
     * @param clock the clock of all processes
     * @param count how many processes to start
     * @return the fleet
     */
    public static LocalFleet of(PausedClock clock, int count) {
        LocalFleet fleet = new LocalFleet(clock);
        for (int i = 0; i < count; i++) {
            fleet.start(i);
            clock.advance(STAGGER);
        }
        return fleet;
    }

    /**
     * Starts a process.
     *
     * @param place its number, which decides name, address, failure domain and region
     * @return the process
     */
    public Process start(int place) {
        VmId vm = VmId.of("vm-" + place);
        Address address = address(place);
        Member self =
                new Member(
                        vm,
                        clock.instant().toEpochMilli(),
                        address,
                        address,
                        FailureDomain.of("domain-" + place % DOMAINS),
                        "region-" + place % DOMAINS % REGIONS,
                        MemberState.ALIVE);
        Process process = new Process(self);
        processes.put(vm, process);
        return process;
    }

    /**
     * Ends a process without a word.
     *
     * @param place its number
     */
    public void kill(int place) {
        Process process = processes.remove(VmId.of("vm-" + place));
        process.duty.stopped = true;
        process.watch.close();
        network.at(address(place)).close();
    }

    /**
     * Returns the running processes.
     *
     * @return the processes by VM
     */
    public List<Process> processes() {
        return new ArrayList<>(processes.values());
    }

    /**
     * Returns the platform.
     *
     * @return the platform
     */
    public LocalPlatform platform() {
        return platform;
    }

    /**
     * Returns the network.
     *
     * @return the network
     */
    public LocalNetwork network() {
        return network;
    }

    /**
     * Returns where a process listens.
     *
     * @param place its number
     * @return the address
     */
    public static Address address(int place) {
        return Address.of("10.0.0.1", 1_000 + place);
    }

    /** One process of the fleet. */
    public final class Process {
        private final Duty duty = new Duty();
        private final Fleet fleet;
        private final ConfigurationWatch watch;
        private final List<Configuration> applied = new ArrayList<>();

        private Process(Member self) {
            EventLog events = EventLog.of(self.vm(), clock, EVENTS);
            List<Address> seeds = List.of(address(0), address(1));
            fleet = Fleet.of(self, seeds, network.at(self.peer()), clock, duty, events);
            watch = ConfigurationWatch.of(platform, clock, duty, fleet, events, applied::add);
            fleet.onMessage(watch::received);
            fleet.onDigest(watch::digest, watch::seen);
        }

        /**
         * Returns its membership.
         *
         * @return the membership
         */
        public Fleet fleet() {
            return fleet;
        }

        /**
         * Returns its watch of the configuration.
         *
         * @return the watch
         */
        public ConfigurationWatch watch() {
            return watch;
        }

        /**
         * Returns what it has in force.
         *
         * @return the configuration
         */
        public Configuration configuration() {
            return applied.isEmpty() ? Configuration.empty() : applied.get(applied.size() - 1);
        }

        /**
         * Returns all that it ever had in force.
         *
         * @return the configurations in their order
         */
        public List<Configuration> applied() {
            return List.copyOf(applied);
        }
    }

    private static final class Duty implements Executor {
        private final BoundedExecutor inline = BoundedExecutor.inline();
        private boolean stopped;

        @Override
        public void execute(Runnable task) {
            if (!stopped) {
                inline.execute(task);
            }
        }
    }
}
