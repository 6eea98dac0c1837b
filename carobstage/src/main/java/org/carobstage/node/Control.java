package org.carobstage.node;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.carobstage.config.Configuration;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.event.EventLog;
import org.carobstage.membership.Fleet;
import org.carobstage.model.Address;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.peer.PeerNetwork;
import org.carobstage.peer.PeerSecret;
import org.carobstage.peer.TcpPeerNetwork;
import org.carobstage.platform.Entry;
import org.carobstage.platform.ListedVm;
import org.carobstage.platform.Platform;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.Closer;
import org.carobstage.runtime.SerialExecutor;
import org.carobstage.settings.Settings;

/** What a process agrees with the rest of the fleet: members and configuration. */
public final class Control implements AutoCloseable {
    private static final int RING_CAPACITY = 16_384;
    private static final Address NOWHERE = Address.of("0.0.0.0", 0);

    private final Closer closer = Closer.empty();
    private final Fleet fleet;
    private final ConfigurationWatch watch;

    private Control(
            Settings settings, Platform platform, Clock clock, EventLog events, Proxy proxy) {
        SerialExecutor duty = closer.add(SerialExecutor.of("fleet", RING_CAPACITY));
        PeerNetwork network = closer.add(network(settings, events));
        Member self = self(settings, network.address(), clock);
        List<Address> seeds = settings.peer().seeds();
        this.fleet = closer.add(Fleet.of(self, seeds, network, clock, duty, events));
        this.watch =
                closer.add(
                        ConfigurationWatch.of(platform, clock, duty, fleet, events, proxy::apply));
        fleet.onMessage(watch::received);
        fleet.onDigest(watch::digest, watch::seen);
        watch.onList(this::listed);
    }

    /**
     * Joins the fleet and starts to follow the configuration.
     *
     * @param settings the settings of the process
     * @param platform the platform
     * @param clock the runtime's clock
     * @param events records what is decided
     * @param proxy takes the configuration
     * @return the running parts
     */
    public static Control of(
            Settings settings, Platform platform, Clock clock, EventLog events, Proxy proxy) {
        requireNonNull(settings, "settings is null");
        requireNonNull(platform, "platform is null");
        return new Control(settings, platform, clock, events, proxy);
    }

    /**
     * Returns when statements may be served.
     *
     * @return a stage that completes with the first configuration
     */
    public CompletionStage<Configuration> ready() {
        return watch.first();
    }

    /**
     * Returns the membership of the fleet.
     *
     * @return the fleet
     */
    public Fleet fleet() {
        return fleet;
    }

    /**
     * Returns the entries of the configuration with their versions.
     *
     * @return the entries
     */
    public List<Entry> configuration() {
        return watch.entries();
    }

    /** Tells the peers of the stop and leaves the fleet. */
    @Override
    public void close() {
        closer.close();
    }

    private void listed(List<ListedVm> vms) {
        fleet.seed(vms.stream().map(ListedVm::peer).filter(Objects::nonNull).toList());
    }

    private static PeerNetwork network(Settings settings, EventLog events) {
        return settings.peer()
                .listen()
                .map(listen -> tcp(settings, listen, events))
                .orElseGet(() -> PeerNetwork.none(NOWHERE));
    }

    private static PeerNetwork tcp(Settings settings, Address listen, EventLog events) {
        PeerSecret secret = PeerSecret.of(settings.peer().secret().orElseThrow().bytes());
        return TcpPeerNetwork.of(listen, secret, events);
    }

    private static Member self(Settings settings, Address peer, Clock clock) {
        return new Member(
                settings.vm().id(),
                clock.instant().toEpochMilli(),
                peer,
                settings.operator().listen(),
                settings.vm().domain(),
                settings.vm().region(),
                MemberState.ALIVE);
    }
}
