package org.carobstage.failover;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.event.EventCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.store.KeyReader;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;

/**
 * The instances of a service that may hold acknowledged commits. An instance whose entry has
 * expired may still receive and acknowledge commits, so it remains a member while it is absent. The
 * store keeps the ids without a lease, so that a process that starts later knows absent members.
 */
final class ReplicaSet {
    /** An instance without an entry for this long is gone; later commits are on the others. */
    private static final Duration ABSENCE_TIMEOUT = Duration.ofSeconds(30);

    /** The delay before a failed write is retried. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(1_000);

    private static final Pattern ID = Pattern.compile("[^\\s\\p{Cntrl}\\uFFFD]+");

    /** A service has a few instances; a longer list is no record of a process. */
    private static final int MAX_RECORDED_IDS = 1_000;

    private final FailoverContext context;
    private final ServiceName service;
    private final String key;
    private final Map<InstanceId, Member> members = new TreeMap<>();
    private Set<InstanceId> registered = Set.of();
    private Optional<String> recorded = Optional.empty();
    private StoreRevision keyRevision = StoreRevision.NONE;
    private StoreRevision lastChange = StoreRevision.NONE;
    private boolean writePending;
    private long nextWriteNanos;

    ReplicaSet(FailoverContext context, ServiceName service) {
        this.context = context;
        this.service = service;
        this.key = FailoverKeys.replicas(service);
        this.nextWriteNanos = context.clock().nanoTime();
    }

    /** Returns the members that are not registered, in order of id. */
    List<InstanceId> absent() {
        return members.keySet().stream().filter(id -> !registered.contains(id)).toList();
    }

    /** Returns the absent members that were draining when they left. */
    List<InstanceId> drained() {
        return absent().stream().filter(this::isDrained).toList();
    }

    /**
     * Removes an absent member that was draining when it left.
     *
     * @param position what another replica has received, which covers what the member confirmed
     */
    void removeDrained(InstanceId id, LogPosition position) {
        if (drained().contains(id)) {
            remove(id, "it was draining, and another replica has received " + position);
        }
    }

    /**
     * Adds the registered instances, and removes the members that no longer hold commits that the
     * others lack.
     *
     * @param entries the entries of the registered instances
     * @param storeReachable whether the store responds; if not, the time of an absence starts again
     */
    void observe(Collection<InstanceEntry> entries, boolean storeReachable) {
        entries.forEach(e -> members.put(e.id(), Member.registered(e)));
        registered = entries.stream().map(InstanceEntry::id).collect(Collectors.toSet());
        absent().forEach(id -> observeAbsent(id, entries, storeReachable));
    }

    /** Applies a change of the recorded ids. */
    void onStoreChange(StoreEntry entry) {
        if (entry.revision().compareTo(lastChange) <= 0) {
            return;
        }
        boolean sameEra = entry.revision().era() == lastChange.era();
        Set<InstanceId> before = sameEra ? parse(recorded) : Set.of();
        entry.value().filter(text -> !isRecord(text)).ifPresent(text -> recordUnreadable());
        apply(entry.revision(), entry.value());
        Set<InstanceId> after = parse(recorded);
        after.forEach(id -> members.computeIfAbsent(id, i -> Member.unknown(nowNanos())));
        if (!after.isEmpty()) {
            absent().stream()
                    .filter(id -> before.contains(id) && !after.contains(id))
                    .forEach(id -> remove(id, "another process removed it"));
        }
    }

    /** Discards what is known of the record, which a restored store may have lost. */
    void onStoreRestored() {
        recorded = Optional.empty();
        keyRevision = StoreRevision.NONE;
    }

    /**
     * Records the members if they have changed. Retries end once the watch has delivered the record
     * that another process has written.
     *
     * @param firstRanked whether this process is the one that writes
     */
    void update(boolean firstRanked) {
        Optional<String> text = Optional.of(format()).filter(t -> !t.isEmpty());
        boolean due = !writePending && nowNanos() - nextWriteNanos >= 0;
        if (firstRanked && due && text.isPresent() && !text.equals(recorded)) {
            write(text.get());
        }
    }

    private void observeAbsent(
            InstanceId id, Collection<InstanceEntry> entries, boolean storeReachable) {
        Member member = members.get(id);
        long absentSince =
                member.absentSinceNanos().filter(since -> storeReachable).orElse(nowNanos());
        Duration absence = Duration.ofNanos(nowNanos() - absentSince);
        if (member.entry().filter(e -> isAddressTaken(e, entries)).isPresent()) {
            remove(id, "another instance is registered at its address");
        } else if (absence.compareTo(ABSENCE_TIMEOUT) >= 0) {
            remove(id, "absent_ms=" + absence.toMillis());
        } else {
            members.put(id, new Member(member.entry(), Optional.of(absentSince), true));
            if (!member.absenceRecorded()) {
                record("absent=" + id + " members=" + members.keySet());
            }
        }
    }

    private boolean isDrained(InstanceId id) {
        return members.get(id).entry().filter(InstanceEntry::draining).isPresent();
    }

    private static boolean isAddressTaken(InstanceEntry member, Collection<InstanceEntry> entries) {
        return entries.stream().anyMatch(e -> e.address().equals(member.address()));
    }

    private void remove(InstanceId id, String reason) {
        members.remove(id);
        record("removed=" + id + " reason=" + reason + " members=" + members.keySet());
    }

    private void record(String detail) {
        context.record(EventCode.REPLICA_SET_CHANGED, service, detail);
    }

    private void recordUnreadable() {
        context.record(
                EventCode.ENTRY_UNREADABLE, service, "key=" + key + " reason=not a list of ids");
    }

    private void write(String text) {
        writePending = true;
        context.store()
                .write(
                        StoreWrite.put(key, text, LeaseId.NONE).onlyIf(key, keyRevision),
                        response -> {
                            writePending = false;
                            if (response instanceof StoreResponse.Success<StoreRevision> success) {
                                apply(success.value(), Optional.of(text));
                            } else {
                                nextWriteNanos = nowNanos() + RETRY_DELAY.toNanos();
                            }
                            if (response instanceof StoreResponse.Mismatch<StoreRevision>) {
                                read();
                            }
                        });
    }

    private void read() {
        writePending = true;
        KeyReader.read(
                context.store(),
                key,
                entry -> {
                    writePending = false;
                    entry.ifPresent(this::onStoreChange);
                });
    }

    private void apply(StoreRevision changedAt, Optional<String> text) {
        if (changedAt.compareTo(lastChange) > 0) {
            lastChange = changedAt;
            keyRevision = text.isPresent() ? changedAt : StoreRevision.NONE;
            recorded = text;
        }
    }

    private String format() {
        return members.keySet().stream()
                .map(InstanceId::value)
                .filter(id -> ID.matcher(id).matches())
                .collect(Collectors.joining(" "));
    }

    private static Set<InstanceId> parse(Optional<String> text) {
        return text.filter(ReplicaSet::isRecord).stream()
                .flatMap(t -> Arrays.stream(t.split(" ")))
                .map(InstanceId::of)
                .collect(Collectors.toSet());
    }

    /** Checks id by id, since a pattern of the whole list uses stack for each. */
    private static boolean isRecord(String text) {
        String[] ids = text.split(" ", MAX_RECORDED_IDS + 1);
        return ids.length <= MAX_RECORDED_IDS
                && Arrays.stream(ids).allMatch(id -> ID.matcher(id).matches());
    }

    /**
     * Returns the monotonic time in ns. Unlike the time of day it can't be stepped, which would cut
     * an absence short.
     */
    private long nowNanos() {
        return context.clock().nanoTime();
    }

    /**
     * A member of the set.
     *
     * @param entry its last entry; empty if this process has seen none
     * @param absentSinceNanos the monotonic time in ns since when its entry has been missing
     * @param absenceRecorded whether the log has its absence
     */
    private record Member(
            Optional<InstanceEntry> entry,
            Optional<Long> absentSinceNanos,
            boolean absenceRecorded) {
        private static Member registered(InstanceEntry entry) {
            return new Member(Optional.of(entry), Optional.empty(), false);
        }

        private static Member unknown(long sinceNanos) {
            return new Member(Optional.empty(), Optional.of(sinceNanos), false);
        }
    }
}
