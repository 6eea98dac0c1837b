package org.carobstage.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.carobstage.membership.Peers;
import org.carobstage.model.Address;
import org.carobstage.model.Member;
import org.carobstage.peer.PeerMessage.ConfigEntries;
import org.carobstage.peer.PeerMessage.ConfigRequest;
import org.carobstage.peer.PeerMessage.ConfigSummary;
import org.carobstage.peer.PeerMessage.ConfigVersions;
import org.carobstage.platform.Entry;
import org.carobstage.runtime.Clock;

/** Spreads entries between peers: fresh ones at once, missed ones after a comparison. */
final class ConfigurationExchange {
    private static final int FAN_OUT = 4;
    private static final int MAX_PUSHED = 64;
    private static final int MAX_CHARS = 500_000;
    private static final long QUIET_NANOS = Duration.ofSeconds(1).toNanos();

    private final ConfigurationEntries entries;
    private final Peers peers;
    private final Clock clock;
    private final Random random;
    private final Set<String> requested = new HashSet<>();
    private final Map<Address, Long> asked = new HashMap<>();
    private boolean compared;
    private long changedAt;

    ConfigurationExchange(ConfigurationEntries entries, Peers peers, Clock clock) {
        this.entries = entries;
        this.peers = peers;
        this.clock = clock;
        this.random = new Random(peers.self().vm().hashCode());
        this.changedAt = clock.nanoTime() - QUIET_NANOS;
    }

    /** Tells whether all that one peer had more has arrived. */
    boolean compared() {
        return compared && requested.isEmpty();
    }

    /** Sends fresh entries on; each process does so once, when they are new to it. */
    void push(List<Entry> fresh) {
        changedAt = clock.nanoTime();
        if (fresh.size() > MAX_PUSHED) {
            return;
        }
        List<Member> others = new ArrayList<>(peers.others());
        Collections.shuffle(others, random);
        others.stream().limit(FAN_OUT).forEach(m -> send(m.peer(), fresh));
    }

    /** Compares with a peer, unless changes are on their way or it was asked just now. */
    void compare(Address peer) {
        long now = clock.nanoTime();
        asked.values().removeIf(t -> now - t >= QUIET_NANOS);
        if (now - changedAt >= QUIET_NANOS && asked.putIfAbsent(peer, now) == null) {
            peers.send(peer, new ConfigSummary(entries.buckets()));
        }
    }

    void answer(Address from, ConfigSummary summary) {
        List<Integer> differing = entries.differing(summary.buckets());
        peers.send(from, new ConfigVersions(differing, entries.versions(differing)));
    }

    void answered(Address from, ConfigVersions theirs) {
        List<String> wanted =
                theirs.versions().entrySet().stream()
                        .filter(e -> e.getValue() > entries.version(e.getKey()))
                        .map(Map.Entry::getKey)
                        .toList();
        List<Entry> newer =
                entries.versions(theirs.buckets()).entrySet().stream()
                        .filter(e -> e.getValue() > theirs.versions().getOrDefault(e.getKey(), 0L))
                        .map(e -> entries.get(e.getKey()))
                        .toList();
        compared = true;
        send(from, newer);
        if (!wanted.isEmpty()) {
            requested.addAll(wanted);
            peers.send(from, new ConfigRequest(wanted));
        }
    }

    void sendKeys(Address to, List<String> keys) {
        send(to, keys.stream().map(entries::get).toList());
    }

    void arrived(List<Entry> fresh) {
        fresh.forEach(e -> requested.remove(e.key()));
    }

    private void send(Address to, Collection<Entry> news) {
        List<Entry> part = new ArrayList<>();
        int chars = 0;
        for (Entry entry : news) {
            part.add(entry);
            chars += entry.value().length() + entry.key().length();
            if (chars > MAX_CHARS) {
                peers.send(to, new ConfigEntries(part));
                part = new ArrayList<>();
                chars = 0;
            }
        }
        if (!part.isEmpty()) {
            peers.send(to, new ConfigEntries(part));
        }
    }
}
