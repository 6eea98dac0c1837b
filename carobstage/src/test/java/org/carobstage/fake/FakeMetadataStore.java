package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carobstage.runtime.Clock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreEra;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;

/**
 * An in-memory metadata store whose leases expire on the given clock; each process has its own
 * {@link Client}.
 */
public final class FakeMetadataStore {
    private static final Duration RESPONSE_DELAY = Duration.ofMillis(4);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);
    private static final Duration RESTORED_TTL = Duration.ofSeconds(3);

    private final Clock clock;
    private final Map<String, Value> values = new TreeMap<>();
    private final List<StoreEntry> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<LeaseId, Long> leases = new HashMap<>();
    private long era = 1;
    private long revision = 1;
    private Map<String, Value> copiedValues = Map.of();
    private Map<LeaseId, Long> copiedLeases = Map.of();
    private long copiedRevision;
    private long copiedNextLeaseId;
    private long historyStart = 1;
    private long nextLeaseId = 100;

    private FakeMetadataStore(Clock clock) {
        this.clock = clock;
    }

    public static FakeMetadataStore of(Clock clock) {
        return new FakeMetadataStore(clock);
    }

    public Client client() {
        return new Client();
    }

    public void put(String key, String value) {
        put(key, value, LeaseId.NONE);
    }

    public void delete(String key) {
        if (values.remove(key) != null) {
            ++revision;
            recordChange(new StoreEntry(key, Optional.empty(), currentRevision()));
        }
    }

    /** Ends a lease and deletes its keys, as if it had not been renewed. */
    public void expire(LeaseId lease) {
        revoke(lease);
    }

    /** Ends the lease of a key before it expires; its holder is not told. */
    public void endLeaseOf(String key) {
        revoke(values.get(key).lease());
    }

    public Optional<String> get(String key) {
        return Optional.ofNullable(values.get(key)).map(Value::text);
    }

    public List<String> keys(String prefix) {
        return values.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Compacts the history; pending watches complete with {@code HistoryGone}. */
    public void compact() {
        historyStart = ++revision;
        List<Watch> pending = List.copyOf(watches);
        watches.clear();
        pending.forEach(watch -> watch.callback().accept(new StoreResponse.HistoryGone<>()));
    }

    /** Copies the values and leases, which {@link #restore} brings back. */
    public void copy() {
        copiedValues = new TreeMap<>(values);
        copiedLeases = new HashMap<>(leases);
        copiedRevision = revision;
        copiedNextLeaseId = nextLeaseId;
    }

    /**
     * Restores the copy: later writes and leases are lost, revisions and lease ids are assigned
     * again, and every process learns of the next era with its next response.
     */
    public void restore() {
        era++;
        revision = copiedRevision;
        nextLeaseId = copiedNextLeaseId;
        historyStart = revision + 1;
        values.clear();
        values.putAll(copiedValues);
        leases.clear();
        copiedLeases.keySet().forEach(lease -> extend(lease, RESTORED_TTL));
        history.clear();
        List<Watch> pending = List.copyOf(watches);
        watches.clear();
        pending.forEach(watch -> watch.callback().accept(new StoreResponse.HistoryGone<>()));
    }

    private StoreRevision currentRevision() {
        return new StoreRevision(era, revision);
    }

    private void put(String key, String value, LeaseId lease) {
        values.put(key, new Value(value, ++revision, lease));
        recordChange(new StoreEntry(key, Optional.of(value), currentRevision()));
    }

    private void recordChange(StoreEntry entry) {
        history.add(entry);
        List<Watch> pending = List.copyOf(watches);
        watches.clear();
        pending.forEach(this::complete);
    }

    private void complete(Watch watch) {
        List<StoreEntry> entries =
                history.stream()
                        .filter(entry -> entry.revision().number() > watch.afterRevision())
                        .toList();
        watch.callback()
                .accept(
                        new StoreResponse.Success<>(
                                new MetadataStore.Page(entries, currentRevision(), false)));
    }

    private List<StoreEntry> entries() {
        return values.entrySet().stream().map(e -> toStoreEntry(e.getKey(), e.getValue())).toList();
    }

    private StoreEntry toStoreEntry(String key, Value value) {
        return new StoreEntry(
                key, Optional.of(value.text()), new StoreRevision(era, value.revision()));
    }

    private void expireUnlessRenewed(LeaseId lease, long expiresAtNanos) {
        if (leases.getOrDefault(lease, 0L) == expiresAtNanos) {
            revoke(lease);
        }
    }

    private boolean revoke(LeaseId lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        values.entrySet().stream()
                .filter(e -> e.getValue().lease().equals(lease))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::delete);
        return true;
    }

    private void extend(LeaseId lease, Duration ttl) {
        long expiresAtNanos = clock.nanoTime() + ttl.toNanos();
        leases.put(lease, expiresAtNanos);
        clock.schedule(() -> expireUnlessRenewed(lease, expiresAtNanos), ttl);
    }

    private record Value(String text, long revision, LeaseId lease) {}

    private record Watch(
            long afterRevision, Consumer<StoreResponse<MetadataStore.Page>> callback) {}

    /** The connection of one process to the store; a test can interrupt it. */
    public final class Client implements MetadataStore {
        private final Map<LeaseId, Duration> ttls = new HashMap<>();
        private final StoreEra storeEra = StoreEra.unknown();
        private MessageFilter filter = MessageFilter.NONE;
        private boolean reachable = true;
        private boolean watchHeld;
        private boolean writesRejected;
        private boolean listingsLost;
        private int callCount;

        /** Delivers no changes to the watch while it is held. */
        public void holdWatch(boolean held) {
            watchHeld = held;
        }

        /** Answers writes as if their conditions did not hold. */
        public void rejectWrites(boolean rejected) {
            writesRejected = rejected;
        }

        /** Leaves the listings that start from now on unanswered. */
        public void loseListings(boolean lost) {
            listingsLost = lost;
        }

        public void setReachable(boolean isReachable) {
            reachable = isReachable;
        }

        /** Sets what happens to the writes and the lease calls of this process. */
        public void setMessageFilter(MessageFilter newFilter) {
            filter = newFilter;
        }

        public int callCount() {
            return callCount;
        }

        @Override
        public StoreEra era() {
            return storeEra;
        }

        @Override
        public void list(Optional<String> afterKey, Consumer<StoreResponse<Page>> callback) {
            respondLater(
                    listingsLost ? MessageFilter.Fate.LOST : MessageFilter.Fate.DELIVERED,
                    callback,
                    () ->
                            new StoreResponse.Success<>(
                                    new Page(entries(), currentRevision(), false)));
        }

        @Override
        public void watch(
                StoreRevision after, Duration wait, Consumer<StoreResponse<Page>> callback) {
            callCount++;
            if (!reachable) {
                clock.schedule(
                        () -> callback.accept(new StoreResponse.NoAnswer<>("store unreachable")),
                        wait);
                return;
            }
            if (after.number() < historyStart - 1 || after.number() > revision) {
                callback.accept(new StoreResponse.HistoryGone<>());
                return;
            }
            if (watchHeld) {
                clock.schedule(() -> watch(after, wait, callback), RESPONSE_DELAY);
                return;
            }
            Watch watch = new Watch(after.number(), response -> callback.accept(respond(response)));
            if (history.stream().anyMatch(entry -> entry.revision().number() > after.number())) {
                clock.schedule(() -> complete(watch), RESPONSE_DELAY);
                return;
            }
            watches.add(watch);
            clock.schedule(
                    () -> {
                        if (watches.remove(watch)) {
                            complete(watch);
                        }
                    },
                    wait);
        }

        @Override
        public void write(StoreWrite change, Consumer<StoreResponse<StoreRevision>> callback) {
            if (expectsLostRevision(change)) {
                callback.accept(new StoreResponse.Mismatch<>());
                return;
            }
            respondLater(
                    filter.fateOf(nameOf(change)),
                    response ->
                            callback.accept(expectsLostRevision(change) ? unreachable() : response),
                    () -> {
                        boolean conditionsHold =
                                change.conditions().stream()
                                        .allMatch(
                                                condition ->
                                                        revisionOf(condition.key())
                                                                == condition.revision().number());
                        boolean leasesExist =
                                change.puts().stream()
                                        .map(StoreWrite.Put::lease)
                                        .allMatch(
                                                lease ->
                                                        lease.equals(LeaseId.NONE)
                                                                || leases.containsKey(lease));
                        if (writesRejected || !conditionsHold || !leasesExist) {
                            return new StoreResponse.Mismatch<>();
                        }
                        change.puts()
                                .forEach(
                                        update ->
                                                put(update.key(), update.value(), update.lease()));
                        change.deletes().forEach(FakeMetadataStore.this::delete);
                        return new StoreResponse.Success<>(currentRevision());
                    });
        }

        @Override
        public void grantLease(Duration ttl, Consumer<StoreResponse<LeaseId>> callback) {
            respondLater(
                    filter.fateOf("GRANT"),
                    callback,
                    () -> {
                        LeaseId lease = new LeaseId(nextLeaseId++);
                        ttls.put(lease, ttl);
                        extend(lease, ttl);
                        return new StoreResponse.Success<>(lease);
                    });
        }

        @Override
        public void renewLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> callback) {
            respondLater(
                    filter.fateOf("RENEW"),
                    callback,
                    () -> {
                        if (!leases.containsKey(lease)) {
                            return new StoreResponse.Mismatch<>();
                        }
                        extend(lease, ttls.get(lease));
                        return new StoreResponse.Success<>(lease);
                    });
        }

        @Override
        public void revokeLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> callback) {
            respondLater(
                    filter.fateOf("REVOKE"),
                    callback,
                    () ->
                            FakeMetadataStore.this.revoke(lease)
                                    ? new StoreResponse.Success<>(lease)
                                    : new StoreResponse.Mismatch<>());
        }

        private String nameOf(StoreWrite change) {
            return Stream.concat(
                            change.puts().stream().map(this::nameOf),
                            change.deletes().stream().map(key -> "DELETE " + key))
                    .collect(Collectors.joining(" "));
        }

        /** A withdrawal of a vote is a write that has a name of its own. */
        private String nameOf(StoreWrite.Put put) {
            return (put.value().equals("withdrawn") ? "WITHDRAW " : "WRITE ") + put.key();
        }

        /** The client compares eras as far as it knows them; the store compares only numbers. */
        private boolean expectsLostRevision(StoreWrite change) {
            return change.conditions().stream()
                    .map(StoreWrite.Condition::revision)
                    .anyMatch(r -> !r.equals(StoreRevision.NONE) && r.era() != storeEra.current());
        }

        private long revisionOf(String key) {
            return Optional.ofNullable(values.get(key))
                    .map(Value::revision)
                    .orElse(StoreRevision.NONE.number());
        }

        private <T> StoreResponse<T> respond(StoreResponse<T> response) {
            if (!reachable) {
                return new StoreResponse.NoAnswer<>("store unreachable");
            }
            storeEra.observe(era);
            return response;
        }

        private <T> void respondLater(
                MessageFilter.Fate fate,
                Consumer<StoreResponse<T>> callback,
                Supplier<StoreResponse<T>> call) {
            callCount++;
            if (fate.answered()) {
                clock.schedule(
                        () -> callback.accept(reachable ? respond(call.get()) : unreachable()),
                        RESPONSE_DELAY);
                return;
            }
            if (fate.executed()) {
                clock.schedule(call::get, RESPONSE_DELAY.plus(fate.delay()));
            }
            clock.schedule(() -> callback.accept(unreachable()), CALL_TIMEOUT);
        }

        private <T> StoreResponse<T> unreachable() {
            return new StoreResponse.NoAnswer<>("store unreachable");
        }
    }
}
