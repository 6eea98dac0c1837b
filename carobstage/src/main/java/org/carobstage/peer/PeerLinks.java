package org.carobstage.peer;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.retry.Backoff;
import org.carobstage.runtime.Clock;

/**
 * Keeps one link open to each address that is wanted, accepts links of other processes, and gives
 * their messages to a handler. A failure of a peer closes its link and nothing else.
 */
public final class PeerLinks implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_000);

    /** A peer may send malformed messages at any rate. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private final PeerTransport transport;
    private final Clock clock;
    private final EventLog events;
    private final PeerHello self;
    private final Predicate<VmId> isMember;
    private final Handler handler;
    private final Backoff backoff;
    private final Map<Address, PeerTarget> targets = new HashMap<>();
    private final Set<PeerLink> incoming = new HashSet<>();
    private final PeerLink.Events linkEvents = new LinkEvents();
    private Optional<Long> reportedNanos = Optional.empty();
    private long unreportedFaults;
    private long faults;
    private boolean closed;

    private PeerLinks(
            PeerTransport transport,
            Clock clock,
            EventLog events,
            PeerHello self,
            Predicate<VmId> isMember,
            RandomGenerator random,
            Handler handler) {
        this.transport = requireNonNull(transport, "transport is null");
        this.clock = requireNonNull(clock, "clock is null");
        this.events = requireNonNull(events, "events is null");
        this.self = requireNonNull(self, "self is null");
        this.isMember = requireNonNull(isMember, "isMember is null");
        this.handler = requireNonNull(handler, "handler is null");
        this.backoff = new Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, random);
    }

    /**
     * Creates links, of which none is open yet.
     *
     * @param transport opens and accepts links
     * @param clock the runtime's clock
     * @param events records links that are opened, closed or faulty
     * @param self the hello of this process
     * @param isMember whether a VM is known to belong to this deployment
     * @param random the source of the jitter
     * @param handler receives the messages
     * @return the links
     */
    public static PeerLinks of(
            PeerTransport transport,
            Clock clock,
            EventLog events,
            PeerHello self,
            Predicate<VmId> isMember,
            RandomGenerator random,
            Handler handler) {
        return new PeerLinks(transport, clock, events, self, isMember, random, handler);
    }

    /**
     * Starts to accept links.
     *
     * @param address the address to listen on
     * @return completes with the listen address, or exceptionally if it cannot be used
     */
    public CompletionStage<Address> listen(Address address) {
        return transport.listen(
                address,
                link -> {
                    PeerLink accepted = PeerLink.incoming(link, linkEvents, clock.nanoTime());
                    incoming.add(accepted);
                    return accepted;
                });
    }

    /**
     * Sets the addresses to which links are kept open; links to other addresses are closed.
     *
     * @param wanted the addresses
     */
    public void setTargets(Set<Address> wanted) {
        for (Address address : List.copyOf(targets.keySet())) {
            if (!wanted.contains(address)) {
                targets.remove(address).link().ifPresent(PeerLink::close);
            }
        }
        wanted.forEach(
                address ->
                        targets.computeIfAbsent(
                                address, a -> new PeerTarget(backoff, clock.nanoTime())));
        connectDue();
    }

    /**
     * Finds the open link to an address.
     *
     * @param address the address
     * @return the link, or empty if none is open or the peer has not sent its hello
     */
    public Optional<PeerLink> link(Address address) {
        return Optional.ofNullable(targets.get(address))
                .flatMap(PeerTarget::link)
                .filter(PeerLink::isReady);
    }

    /**
     * Returns the number of open links, in both directions.
     *
     * @return the number
     */
    public long openLinkCount() {
        return incoming.stream().filter(PeerLink::isReady).count()
                + targets.keySet().stream().filter(address -> link(address).isPresent()).count();
    }

    /**
     * Returns the number of links that were closed for a malformed or refused message.
     *
     * @return the number since the start
     */
    public long faultCount() {
        return faults;
    }

    /** Closes links that have become silent and opens those that are due. */
    public void tick() {
        long nowNanos = clock.nanoTime();
        List<PeerLink> open =
                Stream.concat(
                                incoming.stream(),
                                targets.values().stream().flatMap(t -> t.link().stream()))
                        .toList();
        open.stream().filter(l -> l.isSilent(nowNanos)).forEach(PeerLink::close);
        connectDue();
        if (unreportedFaults > 0) {
            report("further faults");
        }
    }

    /** Closes all links; no other is opened. */
    @Override
    public void close() {
        closed = true;
        setTargets(Set.of());
        List.copyOf(incoming).forEach(PeerLink::close);
    }

    private void connectDue() {
        if (!closed) {
            Map.copyOf(targets).forEach(this::connectIfDue);
        }
    }

    private void connectIfDue(Address address, PeerTarget target) {
        if (!target.isDue(clock.nanoTime())) {
            return;
        }
        target.onConnecting();
        transport.connect(
                address,
                CONNECT_TIMEOUT,
                link -> {
                    PeerLink opened = PeerLink.outgoing(link, linkEvents, self, clock.nanoTime());
                    if (targets.get(address) == target) {
                        target.onConnected(opened);
                    } else {
                        link.close();
                    }
                    return opened;
                },
                () -> target.onLost(clock.nanoTime()));
    }

    private Optional<PeerTarget> targetOf(PeerLink link) {
        return targets.values().stream()
                .filter(t -> t.link().filter(l -> l == link).isPresent())
                .findFirst();
    }

    private void report(String reason) {
        long nowNanos = clock.nanoTime();
        boolean recent =
                reportedNanos.filter(at -> nowNanos - at < REPORT_INTERVAL.toNanos()).isPresent();
        if (!recent) {
            events.record(
                    EventCode.PEER_LINK_FAULT,
                    EventScope.empty(),
                    "faults=" + unreportedFaults + " last: " + reason);
            reportedNanos = Optional.of(nowNanos);
            unreportedFaults = 0;
        }
    }

    private static String describe(PeerLink link) {
        return (link.isOutgoing() ? "to=" : "from=") + link.vm() + " run=" + link.run();
    }

    /** Receives the messages of all links that are ready. */
    public interface Handler {
        /**
         * Called for each message. An exception closes the link.
         *
         * @param link the link
         * @param message the encoded message
         */
        void onMessage(PeerLink link, byte[] message);

        /**
         * Called when a link that was ready is closed.
         *
         * @param link the link
         */
        void onClosed(PeerLink link);
    }

    private final class LinkEvents implements PeerLink.Events {
        @Override
        public long nanoTime() {
            return clock.nanoTime();
        }

        @Override
        public PeerHello self() {
            return self;
        }

        @Override
        public Optional<String> check(PeerHello hello) {
            if (hello.version() != self.version()) {
                return Optional.of("version " + hello.version() + " of " + hello.vm());
            }
            return isMember.test(hello.vm())
                    ? Optional.empty()
                    : Optional.of(hello.vm() + " is not a member");
        }

        @Override
        public void onReady(PeerLink link) {
            targetOf(link).ifPresent(t -> t.onReady(clock.nanoTime()));
            if (!link.isOutgoing()) {
                closeEarlierLinksOf(link);
            }
            events.record(EventCode.PEER_LINK_OPENED, EventScope.empty(), describe(link));
        }

        @Override
        public void onMessage(PeerLink link, byte[] message) {
            handler.onMessage(link, message);
        }

        @Override
        public void onClosed(PeerLink link, Optional<Throwable> fault) {
            incoming.remove(link);
            targetOf(link).ifPresent(t -> t.onLost(clock.nanoTime()));
            fault.ifPresent(
                    cause -> {
                        faults++;
                        unreportedFaults++;
                        report(String.valueOf(cause));
                    });
            if (link.hasPeer()) {
                events.record(EventCode.PEER_LINK_CLOSED, EventScope.empty(), describe(link));
                handler.onClosed(link);
            }
        }

        /** A process opens another link only once it considers its earlier one lost. */
        private void closeEarlierLinksOf(PeerLink link) {
            List<PeerLink> earlier =
                    incoming.stream()
                            .filter(l -> l != link && l.isReady() && l.vm().equals(link.vm()))
                            .toList();
            earlier.forEach(PeerLink::close);
        }
    }
}
