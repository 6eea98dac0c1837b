package org.carobstage.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;
import org.carobstage.peer.PeerMessage;
import org.carobstage.runtime.PausedClock;

/** Members of a fleet that exchange messages on a paused clock, with loss and cuts. */
final class Bus {
    private static final Duration LATENCY = Duration.ofMillis(1);

    final PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    final Map<VmId, Membership> members = new HashMap<>();
    final List<String> suspected = new ArrayList<>();
    final List<String> died = new ArrayList<>();
    final Set<VmId> paused = new HashSet<>();
    Optional<VmId> pausedByPing = Optional.empty();
    BiPredicate<VmId, VmId> cut = (from, to) -> false;
    final Random random = new Random(7);
    int lossPercent;
    long messages;

    private final Map<Address, VmId> addresses = new HashMap<>();

    static Bus of(int count) {
        Bus bus = new Bus();
        for (int i = 0; i < count; i++) {
            bus.start("vm-" + i, i);
        }
        return bus;
    }

    void start(String name, int place) {
        VmId vm = VmId.of(name);
        Address address = Address.of("10.0.0.1", 1000 + place);
        addresses.put(address, vm);
        Member self =
                new Member(
                        vm,
                        clock.instant().toEpochMilli(),
                        address,
                        address,
                        FailureDomain.of("domain-" + place % 8),
                        "region-" + place % 3,
                        MemberState.ALIVE);
        List<Address> seeds = List.of(Address.of("10.0.0.1", 1000), Address.of("10.0.0.1", 1001));
        Random choices = new Random(place * 31L + clock.nanoTime());
        members.put(vm, Membership.of(self, seeds, choices, clock.nanoTime()));
        clock.schedule(() -> tick(vm), Duration.ofMillis(random.nextInt(100)));
    }

    void kill(String name) {
        members.remove(VmId.of(name));
    }

    void advance(Duration step) {
        clock.advance(step);
    }

    /** Returns how many live members know the named one in a state. */
    long knownAs(String name, MemberState state) {
        return members.values().stream()
                .flatMap(m -> m.members().stream())
                .filter(m -> m.vm().value().equals(name) && m.state() == state)
                .count();
    }

    /** Returns whether each member knows exactly the running ones as alive. */
    boolean agrees() {
        return members.values().stream()
                .allMatch(
                        m ->
                                m.members().stream()
                                        .filter(x -> x.state() == MemberState.ALIVE)
                                        .map(Member::vm)
                                        .collect(Collectors.toSet())
                                        .equals(members.keySet()));
    }

    private void tick(VmId vm) {
        Membership member = members.get(vm);
        if (member == null) {
            return;
        }
        if (!paused.contains(vm)) {
            perform(vm, member.tick(clock.nanoTime()));
        }
        clock.schedule(() -> tick(vm), MembershipTimes.TICK);
    }

    private void perform(VmId from, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.Send send) {
                send(from, send);
            } else if (action instanceof MembershipAction.Changed changed) {
                note(from, changed.after());
            }
        }
    }

    private void note(VmId at, Member member) {
        if (member.state() == MemberState.SUSPECT) {
            suspected.add(at + " suspects " + member.vm());
        } else if (member.state() == MemberState.DEAD) {
            died.add(at + " holds dead " + member.vm());
        }
    }

    private void send(VmId from, MembershipAction.Send send) {
        messages++;
        if (send.message() instanceof PeerMessage.Ping) {
            pausedByPing.filter(from::equals).ifPresent(paused::add);
        }
        VmId to = addresses.get(send.to());
        if (to == null || random.nextInt(100) < lossPercent || cut.test(from, to)) {
            return;
        }
        Address sender = members.get(from).self().peer();
        clock.schedule(() -> deliver(sender, send.to(), send.message()), LATENCY);
    }

    private void deliver(Address from, Address to, PeerMessage message) {
        VmId vm = addresses.get(to);
        Membership member = members.get(vm);
        if (member != null && !paused.contains(vm)) {
            perform(vm, member.received(from, message, clock.nanoTime()));
        }
    }
}
