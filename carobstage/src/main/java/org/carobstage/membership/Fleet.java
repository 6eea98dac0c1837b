package org.carobstage.membership;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.membership.MembershipAction.Changed;
import org.carobstage.membership.MembershipAction.Configuration;
import org.carobstage.membership.MembershipAction.Paused;
import org.carobstage.membership.MembershipAction.Send;
import org.carobstage.model.Address;
import org.carobstage.model.Member;
import org.carobstage.peer.PeerMessage;
import org.carobstage.peer.PeerNetwork;
import org.carobstage.runtime.Clock;

/** Runs the membership decision of this process on the fleet's duty. */
public final class Fleet implements Peers, AutoCloseable {
    private final Membership membership;
    private final PeerNetwork network;
    private final Clock clock;
    private final Executor duty;
    private final EventLog events;
    private final List<Consumer<List<Member>>> changes = new CopyOnWriteArrayList<>();
    private final List<PeerNetwork.Listener> messages = new CopyOnWriteArrayList<>();
    private volatile LongSupplier digest = () -> 0;
    private volatile DigestListener digestListener = (peer, value) -> {};
    private volatile List<Member> members;
    private volatile boolean closed;

    private Fleet(
            Membership membership,
            PeerNetwork network,
            Clock clock,
            Executor duty,
            EventLog events) {
        this.membership = membership;
        this.network = network;
        this.clock = clock;
        this.duty = duty;
        this.events = events;
        this.members = membership.members();
    }

    /**
     * Joins the fleet.
     *
     * @param self this process
     * @param seeds where others may be found
     * @param network the way to them
     * @param clock the runtime's clock
     * @param duty the fleet's duty
     * @param events records changes of members
     * @return the running membership
     */
    public static Fleet of(
            Member self,
            Collection<Address> seeds,
            PeerNetwork network,
            Clock clock,
            Executor duty,
            EventLog events) {
        requireNonNull(network, "network is null");
        Random random = new Random(self.vm().hashCode() * 31L + self.incarnation());
        Membership membership = Membership.of(self, seeds, random, clock.nanoTime());
        Fleet fleet = new Fleet(membership, network, clock, duty, events);
        network.listen((from, m) -> duty.execute(() -> fleet.received(from, m)));
        duty.execute(fleet::tick);
        return fleet;
    }

    @Override
    public Member self() {
        return membership.self();
    }

    @Override
    public List<Member> members() {
        return members;
    }

    @Override
    public void send(Address to, PeerMessage message) {
        network.send(to, message);
    }

    /**
     * Adds places where other processes may be found, from the platform's list.
     *
     * @param addresses the addresses
     */
    public void seed(Collection<Address> addresses) {
        duty.execute(() -> membership.seed(addresses));
    }

    /**
     * Adds a listener of changes, called on the fleet's duty.
     *
     * @param listener takes the members
     */
    public void onChange(Consumer<List<Member>> listener) {
        changes.add(listener);
    }

    /**
     * Adds a listener of all messages, called on the fleet's duty.
     *
     * @param listener takes the messages
     */
    public void onMessage(PeerNetwork.Listener listener) {
        messages.add(listener);
    }

    /**
     * Sets what pings tell of this process's configuration, and who hears of a peer's.
     *
     * @param own returns the digest of this process's configuration
     * @param listener takes the digest of a peer's, on the fleet's duty
     */
    public void onDigest(LongSupplier own, DigestListener listener) {
        digest = own;
        digestListener = listener;
    }

    /** Announces that this process is about to stop: it gets no new work. */
    public void leave() {
        duty.execute(() -> perform(membership.leave()));
    }

    /** Announces the stop and ends. */
    @Override
    public void close() {
        duty.execute(
                () -> {
                    perform(membership.stop());
                    closed = true;
                });
    }

    /** Takes the digest of a peer's configuration. */
    @FunctionalInterface
    public interface DigestListener {
        /**
         * Takes a digest.
         *
         * @param peer the peer
         * @param digest the digest of its configuration
         */
        void seen(Address peer, long digest);
    }

    private void tick() {
        if (closed) {
            return;
        }
        membership.configuration(digest.getAsLong());
        perform(membership.tick(clock.nanoTime()));
        clock.schedule(() -> duty.execute(this::tick), MembershipTimes.TICK);
    }

    private void received(Address from, PeerMessage message) {
        if (!closed) {
            perform(membership.received(from, message, clock.nanoTime()));
            messages.forEach(l -> l.received(from, message));
        }
    }

    private void perform(List<MembershipAction> actions) {
        boolean changed = actions.stream().anyMatch(a -> a instanceof Changed);
        if (changed) {
            members = membership.members();
        }
        actions.forEach(this::perform);
        if (changed) {
            changes.forEach(c -> c.accept(members));
        }
    }

    private void perform(MembershipAction action) {
        if (action instanceof Send send) {
            network.send(send.to(), send.message());
        } else if (action instanceof Changed change) {
            record(change.after());
        } else if (action instanceof Paused paused) {
            String detail = paused.nanos() / 1_000_000 + " ms";
            events.record(EventCode.PROCESS_PAUSED, EventScope.empty(), detail);
        } else if (action instanceof Configuration seen) {
            digestListener.seen(seen.peer(), seen.digest());
        }
    }

    private void record(Member member) {
        EventCode code =
                switch (member.state()) {
                    case ALIVE -> EventCode.MEMBER_ALIVE;
                    case LEAVING -> EventCode.MEMBER_LEAVING;
                    case SUSPECT -> EventCode.MEMBER_SUSPECTED;
                    case DEAD -> EventCode.MEMBER_DEAD;
                };
        String detail = member.vm() + " at " + member.peer() + " in " + member.domain();
        events.record(code, EventScope.empty(), detail);
    }
}
