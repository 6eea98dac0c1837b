package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.carobstage.runtime.Clock;
import org.carobstage.store.LeaseId;
import org.carobstage.store.MetadataStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreWrite;

/** A store whose leases lapse with the clock; each process sees it through a {@link View}. */
public final class FakeMetadataStore {
    private static final Duration DELAY = Duration.ofMillis(4);

    private final Clock clock;
    private final Map<String, Value> values = new TreeMap<>();
    private final List<StoreEntry> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<LeaseId, Long> leases = new HashMap<>();
    private long revision = 1;
    private long historyStart = 1;
    private long leaseNumbers = 100;

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
            changed(new StoreEntry(key, Optional.empty(), ++revision));
        }
    }

    public Optional<String> get(String key) {
        return Optional.ofNullable(values.get(key)).map(Value::text);
    }

    public List<String> keys(String prefix) {
        return values.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    /** Drops the history; watches that wait are told so. */
    public void compact() {
        historyStart = ++revision;
        List<Watch> cut = List.copyOf(watches);
        watches.clear();
        cut.forEach(w -> w.then().accept(new StoreResponse.HistoryGone<>()));
    }

    private void put(String key, String value, LeaseId lease) {
        values.put(key, new Value(value, ++revision, lease));
        changed(new StoreEntry(key, Optional.of(value), revision));
    }

    private void changed(StoreEntry item) {
        history.add(item);
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(this::answer);
    }

    private void answer(Watch watch) {
        List<StoreEntry> items =
                history.stream().filter(i -> i.revision() > watch.after()).toList();
        watch.then()
                .accept(
                        new StoreResponse.Success<>(
                                new MetadataStore.Page(items, revision, false)));
    }

    private List<StoreEntry> items() {
        return values.entrySet().stream().map(e -> item(e.getKey(), e.getValue())).toList();
    }

    private static StoreEntry item(String key, Value value) {
        return new StoreEntry(key, Optional.of(value.text()), value.revision());
    }

    private void lapse(LeaseId lease, long until) {
        if (leases.getOrDefault(lease, 0L) == until) {
            end(lease);
        }
    }

    private boolean end(LeaseId lease) {
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
        long until = clock.nanoTime() + ttl.toNanos();
        leases.put(lease, until);
        clock.schedule(() -> lapse(lease, until), ttl);
    }

    private record Value(String text, long revision, LeaseId lease) {}

    private record Watch(long after, Consumer<StoreResponse<MetadataStore.Page>> then) {}

    /** The store as one process reaches it. */
    public final class Client implements MetadataStore {
        private final Map<LeaseId, Duration> ttls = new HashMap<>();
        private boolean setReachable = true;
        private int callCount;

        public void setReachable(boolean now) {
            setReachable = now;
        }

        public int callCount() {
            return callCount;
        }

        @Override
        public void list(Optional<String> after, Consumer<StoreResponse<Page>> then) {
            later(then, () -> new StoreResponse.Success<>(new Page(items(), revision, false)));
        }

        @Override
        public void watch(long after, Duration wait, Consumer<StoreResponse<Page>> then) {
            callCount++;
            if (!setReachable) {
                clock.schedule(() -> then.accept(new StoreResponse.NoAnswer<>("cut off")), wait);
                return;
            }
            if (after < historyStart - 1) {
                then.accept(new StoreResponse.HistoryGone<>());
                return;
            }
            Watch watch =
                    new Watch(
                            after,
                            reply ->
                                    then.accept(
                                            setReachable
                                                    ? reply
                                                    : new StoreResponse.NoAnswer<>("cut off")));
            if (history.stream().anyMatch(i -> i.revision() > after)) {
                clock.schedule(() -> answer(watch), DELAY);
                return;
            }
            watches.add(watch);
            clock.schedule(
                    () -> {
                        if (watches.remove(watch)) {
                            answer(watch);
                        }
                    },
                    wait);
        }

        @Override
        public void write(StoreWrite change, Consumer<StoreResponse<Long>> then) {
            later(
                    then,
                    () -> {
                        boolean holds =
                                change.conditions().stream()
                                        .allMatch(c -> revisionOf(c.key()) == c.revision());
                        if (!holds) {
                            return new StoreResponse.Mismatch<>();
                        }
                        change.puts().forEach(p -> put(p.key(), p.value(), p.lease()));
                        change.deletes().forEach(FakeMetadataStore.this::delete);
                        return new StoreResponse.Success<>(revision);
                    });
        }

        @Override
        public void grantLease(Duration ttl, Consumer<StoreResponse<LeaseId>> then) {
            later(
                    then,
                    () -> {
                        LeaseId lease = new LeaseId(leaseNumbers++);
                        ttls.put(lease, ttl);
                        extend(lease, ttl);
                        return new StoreResponse.Success<>(lease);
                    });
        }

        @Override
        public void renewLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> then) {
            later(
                    then,
                    () -> {
                        if (!leases.containsKey(lease)) {
                            return new StoreResponse.Mismatch<>();
                        }
                        extend(lease, ttls.get(lease));
                        return new StoreResponse.Success<>(lease);
                    });
        }

        @Override
        public void revokeLease(LeaseId lease, Consumer<StoreResponse<LeaseId>> then) {
            later(
                    then,
                    () ->
                            FakeMetadataStore.this.end(lease)
                                    ? new StoreResponse.Success<>(lease)
                                    : new StoreResponse.Mismatch<>());
        }

        private long revisionOf(String key) {
            return Optional.ofNullable(values.get(key)).map(Value::revision).orElse(0L);
        }

        private <T> void later(
                Consumer<StoreResponse<T>> then,
                java.util.function.Supplier<StoreResponse<T>> call) {
            callCount++;
            clock.schedule(
                    () ->
                            then.accept(
                                    setReachable
                                            ? call.get()
                                            : new StoreResponse.NoAnswer<>("cut off")),
                    DELAY);
        }
    }
}
