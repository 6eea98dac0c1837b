package org.carobstage.membership;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.carobstage.membership.MembershipAction.Configuration;
import org.carobstage.membership.MembershipAction.Paused;
import org.carobstage.membership.MembershipAction.Send;
import org.carobstage.model.Address;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;
import org.carobstage.peer.PeerMessage;
import org.carobstage.peer.PeerMessage.Ack;
import org.carobstage.peer.PeerMessage.Gossip;
import org.carobstage.peer.PeerMessage.Ping;
import org.carobstage.peer.PeerMessage.PingRequest;
import org.carobstage.peer.PeerMessage.Sync;

/**
 * The membership decision: a state machine without I/O, fed with ticks and messages, that answers
 * with actions. It belongs to one duty.
 */
public final class Membership {
    private final Roster roster;
    private final Random random;
    private final Set<Address> seeds = new LinkedHashSet<>();
    private final Probes probes = new Probes();
    private final List<VmId> round = new ArrayList<>();
    private List<MembershipAction> actions = new ArrayList<>();
    private long configuration;
    private long lastTick;
    private long nextProbe;
    private long nextGossip;
    private long nextSync;
    private boolean syncKnown;

    private Membership(Member self, Collection<Address> seeds, Random random, long now) {
        this.random = random;
        this.roster = Roster.of(self, change -> actions.add(change));
        this.lastTick = now;
        this.nextProbe = now;
        this.nextGossip = now;
        this.nextSync = now;
        seed(seeds);
    }

    /**
     * Creates the decision of a process that knows only itself.
     *
     * @param self the process
     * @param seeds where other processes may be found
     * @param random the source of the choices
     * @param now the time, in ns of the runtime's clock
     * @return the decision
     */
    public static Membership of(Member self, Collection<Address> seeds, Random random, long now) {
        requireNonNull(self, "self is null");
        requireNonNull(random, "random is null");
        return new Membership(self, seeds, random, now);
    }

    /**
     * Adds places where other processes may be found; this neither adds nor removes members.
     *
     * @param addresses the addresses
     */
    public void seed(Collection<Address> addresses) {
        addresses.stream().filter(a -> !a.equals(self().peer())).forEach(seeds::add);
    }

    /**
     * Sets the digest of this process's configuration, which pings carry.
     *
     * @param digest the digest
     */
    public void configuration(long digest) {
        configuration = digest;
    }

    /**
     * Returns this process as its peers should know it.
     *
     * @return the member
     */
    public Member self() {
        return roster.self();
    }

    /**
     * Returns all members that are not forgotten, this process among them.
     *
     * @return the members, ordered by VM
     */
    public List<Member> members() {
        return roster.all().stream().sorted(Comparator.comparing(Member::vm)).toList();
    }

    /**
     * Does what is due.
     *
     * @param now the time, in ns of the runtime's clock
     * @return the actions
     */
    public List<MembershipAction> tick(long now) {
        if (now - lastTick > MembershipTimes.PAUSE_NANOS) {
            resume(now);
        }
        lastTick = now;
        probes.late(now).forEach(p -> askHelpers(p, now));
        probes.failed(now).forEach(p -> roster.suspect(p.target(), now));
        roster.lastChances(now).forEach(m -> offerLastChance(m, now));
        roster.expire(now);
        if (now - nextProbe >= 0) {
            nextProbe = now + MembershipTimes.PROBE_NANOS;
            probe(now);
        }
        if (now - nextGossip >= 0) {
            nextGossip = now + MembershipTimes.GOSSIP_NANOS;
            gossip(MembershipTimes.FAN_OUT);
        }
        if (now - nextSync >= 0) {
            nextSync = now + MembershipTimes.SYNC_NANOS;
            sync();
        }
        return taken();
    }

    /**
     * Takes a message in.
     *
     * @param from where the sender listens
     * @param message the message; one of another matter is ignored
     * @param now the time, in ns of the runtime's clock
     * @return the actions
     */
    public List<MembershipAction> received(Address from, PeerMessage message, long now) {
        if (message instanceof Ping ping) {
            pinged(from, ping, now);
        } else if (message instanceof PingRequest request) {
            roster.merge(request.updates(), now);
            long number = probes.relay(from, request, now);
            send(request.address(), new Ping(number, request.target(), configuration, news()));
        } else if (message instanceof Ack ack) {
            acked(from, ack, now);
        } else if (message instanceof Gossip gossip) {
            roster.merge(gossip.updates(), now);
        } else if (message instanceof Sync sync) {
            synced(from, sync, now);
        }
        return taken();
    }

    /**
     * Announces that this process is about to stop.
     *
     * @return the actions
     */
    public List<MembershipAction> leave() {
        roster.announce(MemberState.LEAVING);
        gossip(2 * MembershipTimes.FAN_OUT);
        return taken();
    }

    /**
     * Announces that this process stops now.
     *
     * @return the actions
     */
    public List<MembershipAction> stop() {
        roster.announce(MemberState.DEAD);
        gossip(2 * MembershipTimes.FAN_OUT);
        return taken();
    }

    private List<MembershipAction> taken() {
        List<MembershipAction> result = actions;
        actions = new ArrayList<>();
        return result;
    }

    private void resume(long now) {
        actions.add(new Paused(now - lastTick));
        probes.clear();
        roster.restartSuspicions(now);
        roster.announce(self().state());
        nextSync = now;
    }

    private void probe(long now) {
        Optional<Member> next = nextInRound();
        if (next.isEmpty()) {
            return;
        }
        Member target = next.get();
        long number = probes.start(target.vm(), now);
        send(target.peer(), new Ping(number, target.vm(), configuration, newsFor(target)));
    }

    private Optional<Member> nextInRound() {
        if (round.isEmpty()) {
            roster.others().forEach(m -> round.add(m.vm()));
            Collections.shuffle(round, random);
        }
        while (!round.isEmpty()) {
            Optional<Member> member = roster.get(round.remove(round.size() - 1));
            if (member.isPresent() && member.get().state().isLive()) {
                return member;
            }
        }
        return Optional.empty();
    }

    private void askHelpers(Probes.Probe probe, long now) {
        Optional<Member> target = roster.get(probe.target());
        if (target.isEmpty()) {
            return;
        }
        Member member = target.get();
        List<Member> helpers = roster.others();
        helpers.removeIf(m -> m.vm().equals(member.vm()) || m.state() == MemberState.SUSPECT);
        pick(helpers, MembershipTimes.HELPERS)
                .forEach(
                        h ->
                                send(
                                        h.peer(),
                                        new PingRequest(
                                                probe.number(),
                                                member.vm(),
                                                member.peer(),
                                                news())));
        send(member.peer(), new Ping(probe.number(), member.vm(), configuration, newsFor(member)));
    }

    private void pinged(Address from, Ping ping, long now) {
        roster.merge(ping.updates(), now);
        if (ping.target().equals(self().vm())) {
            actions.add(new Configuration(from, ping.configuration()));
            send(from, new Ack(ping.number(), configuration, newsWith(self())));
        }
    }

    private void offerLastChance(Member suspect, long now) {
        long number = probes.start(suspect.vm(), now);
        send(suspect.peer(), new Ping(number, suspect.vm(), configuration, newsWith(suspect)));
    }

    private void acked(Address from, Ack ack, long now) {
        roster.merge(ack.updates(), now);
        Optional<Probes.Relay> relay = probes.relayed(ack.number());
        if (relay.isPresent()) {
            send(relay.get().requester(), new Ack(relay.get().number(), 0, news()));
            return;
        }
        if (probes.answered(ack.number()) && ack.configuration() != 0) {
            actions.add(new Configuration(from, ack.configuration()));
        }
    }

    private void gossip(int fanOut) {
        if (roster.news().isEmpty()) {
            return;
        }
        List<Member> targets = pick(roster.others(), fanOut);
        if (!targets.isEmpty()) {
            List<Member> news = news();
            targets.forEach(m -> send(m.peer(), new Gossip(news)));
        }
    }

    private void sync() {
        syncKnown = !syncKnown;
        List<Address> live = roster.others().stream().map(Member::peer).toList();
        Set<Address> other = new LinkedHashSet<>(seeds);
        roster.all().forEach(m -> other.add(m.peer()));
        other.removeAll(live);
        other.remove(self().peer());
        boolean known = !live.isEmpty() && (syncKnown || other.isEmpty());
        List<Address> candidates = new ArrayList<>(known ? live : other);
        int count = live.isEmpty() ? MembershipTimes.FAN_OUT : 1;
        pick(candidates, count)
                .forEach(a -> send(a, new Sync(self(), roster.digest(), false, List.of())));
    }

    private void synced(Address from, Sync sync, long now) {
        roster.merge(List.of(sync.sender()), now);
        roster.merge(sync.members(), now);
        if (sync.answer() || sync.digest() == roster.digest()) {
            return;
        }
        boolean last = !sync.members().isEmpty();
        send(from, new Sync(self(), roster.digest(), last, roster.all()));
    }

    private List<Member> news() {
        return roster.news().take(roster.liveCount());
    }

    /** A suspected member is told of the suspicion, so that it can refute it. */
    private List<Member> newsFor(Member target) {
        return target.state() == MemberState.SUSPECT ? newsWith(target) : news();
    }

    private List<Member> newsWith(Member member) {
        List<Member> news = new ArrayList<>(news());
        if (!news.contains(member)) {
            news.add(member);
        }
        return news;
    }

    private <T> List<T> pick(List<T> from, int count) {
        Collections.shuffle(from, random);
        return from.subList(0, Math.min(count, from.size()));
    }

    private void send(Address to, PeerMessage message) {
        actions.add(new Send(to, message));
    }
}
