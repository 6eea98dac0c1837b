package org.carobstage.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.peer.PeerMessage.PingRequest;

/** The pings that await an answer, own ones and those on behalf of others. */
final class Probes {
    private final Map<Long, Probe> own = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private long numbers;

    long start(VmId target, long now) {
        long number = ++numbers;
        own.put(number, new Probe(number, target, now, false));
        return number;
    }

    boolean answered(long number) {
        return own.remove(number) != null;
    }

    long relay(Address requester, PingRequest request, long now) {
        relays.values().removeIf(r -> now - r.since() > MembershipTimes.PROBE_NANOS);
        long number = ++numbers;
        relays.put(number, new Relay(requester, request.number(), now));
        return number;
    }

    Optional<Relay> relayed(long number) {
        return Optional.ofNullable(relays.remove(number));
    }

    /** Returns the own pings that need help from now on. */
    List<Probe> late(long now) {
        List<Probe> late = new ArrayList<>();
        for (Probe probe : own.values()) {
            if (!probe.helped() && now - probe.since() >= MembershipTimes.DIRECT_NANOS) {
                late.add(probe);
            }
        }
        late.forEach(p -> own.put(p.number(), p.withHelp()));
        return late;
    }

    /** Takes the own pings that nobody answered in time. */
    List<Probe> failed(long now) {
        List<Probe> failed = new ArrayList<>();
        for (Probe probe : own.values()) {
            if (now - probe.since() >= 2 * MembershipTimes.PROBE_NANOS) {
                failed.add(probe);
            }
        }
        failed.forEach(p -> own.remove(p.number()));
        return failed;
    }

    void clear() {
        own.clear();
        relays.clear();
    }

    record Probe(long number, VmId target, long since, boolean helped) {
        private Probe withHelp() {
            return new Probe(number, target, since, true);
        }
    }

    record Relay(Address requester, long number, long since) {}
}
