package org.carobstage.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.VmId;

/**
 * Counts the processes that do not use their equal share, and measures the time for which buckets
 * are filled: it advances by counted / members of the monotonic time.
 *
 * <p>A process counts for 600 ms after the response that its last request acknowledges was sent.
 * The request was sent later than that, so a delayed one extends nothing.
 */
final class CountedPeers {
    /** Less than the 650 ms after which a process uses its share, as clocks may run differently. */
    static final Duration COUNTED_FOR = Duration.ofMillis(600);

    /** The clocks are read one after the other and the time of day is adjusted in small steps. */
    private static final long CLOCK_NOISE_NANOS = 10_000_000L;

    /** A peer has one request in progress; more responses are remembered for timed-out ones. */
    private static final int REMEMBERED_RESPONSES = 4;

    private final Map<VmId, Peer> peers = new HashMap<>();
    private final TreeSet<Peer> counted =
            new TreeSet<>(
                    Comparator.comparingLong((Peer p) -> p.countedUntil).thenComparing(p -> p.vm));
    private final TreeSet<Peer> heard =
            new TreeSet<>(Comparator.comparingLong((Peer p) -> p.heardAt).thenComparing(p -> p.vm));
    private ClockReading last;
    private long age;
    private long fillNanos;

    private CountedPeers(ClockReading now) {
        this.last = now;
    }

    static CountedPeers of(ClockReading now) {
        return new CountedPeers(now);
    }

    /** Advances the time. */
    void advance(ClockReading now, Set<VmId> members) {
        long monotonic = Math.max(0, now.monotonicNanos() - last.monotonicNanos());
        long elapsed = Math.max(monotonic, last.age(now).toNanos());
        long end = age + elapsed;
        // A suspension may have been at any point of the interval: peers count as if it was first.
        long position = elapsed - monotonic > CLOCK_NOISE_NANOS ? end : age;
        long remaining = monotonic;
        while (!counted.isEmpty() && counted.first().countedUntil <= end) {
            Peer peer = counted.first();
            long step = Math.min(remaining, Math.max(0, peer.countedUntil - position));
            fill(step, members);
            remaining -= step;
            position += step;
            counted.remove(peer);
        }
        fill(remaining, members);
        age = end;
        last = now;
        while (!heard.isEmpty() && heard.first().heardAt + COUNTED_FOR.toNanos() <= age) {
            peers.remove(heard.pollFirst().vm);
        }
    }

    /** Records a request after the time was advanced. */
    void onRequest(VmId vm, QuotaRequest request) {
        Peer peer = peers.computeIfAbsent(vm, Peer::new);
        heard.remove(peer);
        peer.heardAt = age;
        heard.add(peer);
        counted.remove(peer);
        peer.countedUntil =
                request.standalone()
                        ? age
                        : peer.responses.stream()
                                .filter(r -> r.sequence == request.acknowledged())
                                .mapToLong(r -> r.sentAt + COUNTED_FOR.toNanos())
                                .findFirst()
                                .orElse(peer.countedUntil);
        if (peer.countedUntil > age) {
            counted.add(peer);
        }
    }

    /** Records the response to a request. */
    void onResponse(VmId vm, long sequence) {
        Peer peer = peers.get(vm);
        peer.responses.addLast(new Response(sequence, age));
        if (peer.responses.size() > REMEMBERED_RESPONSES) {
            peer.responses.removeFirst();
        }
    }

    long fillNanos() {
        return fillNanos;
    }

    /** Converts a time until a bucket is filled to real time. */
    Duration toRealTime(Duration fillTime, Set<VmId> members) {
        double part = Math.max(part(members), 1.0 / Math.max(1, members.size()));
        double nanos = Math.min(fillTime.toNanos() / part, TokenBucket.LONGEST_WAIT.toNanos());
        return Duration.ofNanos((long) Math.ceil(nanos));
    }

    private void fill(long nanos, Set<VmId> members) {
        fillNanos += (long) (nanos * part(members));
    }

    /**
     * Returns the part of the rate that no process uses by its share. Only members have one, so
     * without any the whole rate is granted.
     */
    private double part(Set<VmId> members) {
        long counting = counted.stream().filter(peer -> members.contains(peer.vm)).count();
        return members.isEmpty() ? 1 : (double) counting / members.size();
    }

    private record Response(long sequence, long sentAt) {}

    private static final class Peer {
        private final VmId vm;
        private final Deque<Response> responses = new ArrayDeque<>();
        private long heardAt;
        private long countedUntil;

        private Peer(VmId vm) {
            this.vm = vm;
        }
    }
}
