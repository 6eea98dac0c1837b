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
import org.carobstage.store.StoreItem;
import org.carobstage.store.StoreReply;
import org.carobstage.store.StoreWrite;

/** A store whose leases lapse with the clock; each process sees it through a {@link View}. */
public final class FakeStore {
    private static final Duration DELAY = Duration.ofMillis(4);

    private final Clock clock;
    private final Map<String, Value> values = new TreeMap<>();
    private final List<StoreItem> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<LeaseId, Long> leases = new HashMap<>();
    private long revision = 1;
    private long historyStart = 1;
    private long leaseNumbers = 100;

    private FakeStore(Clock clock) {
        this.clock = clock;
    }

    public static FakeStore of(Clock clock) {
        return new FakeStore(clock);
    }

    public View view() {
        return new View();
    }

    public void put(String key, String value) {
        put(key, value, LeaseId.NONE);
    }

    public void delete(String key) {
        if (values.remove(key) != null) {
            changed(new StoreItem(key, Optional.empty(), ++revision));
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
        cut.forEach(w -> w.then().accept(new StoreReply.HistoryGone<>()));
    }

    private void put(String key, String value, LeaseId lease) {
        values.put(key, new Value(value, ++revision, lease));
        changed(new StoreItem(key, Optional.of(value), revision));
    }

    private void changed(StoreItem item) {
        history.add(item);
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(this::answer);
    }

    private void answer(Watch watch) {
        List<StoreItem> items = history.stream().filter(i -> i.revision() > watch.after()).toList();
        watch.then().accept(new StoreReply.Done<>(new MetadataStore.Page(items, revision, false)));
    }

    private List<StoreItem> items() {
        return values.entrySet().stream().map(e -> item(e.getKey(), e.getValue())).toList();
    }

    private static StoreItem item(String key, Value value) {
        return new StoreItem(key, Optional.of(value.text()), value.revision());
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

    private record Watch(long after, Consumer<StoreReply<MetadataStore.Page>> then) {}

    /** The store as one process reaches it. */
    public final class View implements MetadataStore {
        private final Map<LeaseId, Duration> ttls = new HashMap<>();
        private boolean reachable = true;
        private int calls;

        public void reachable(boolean now) {
            reachable = now;
        }

        public int calls() {
            return calls;
        }

        @Override
        public void list(Optional<String> after, Consumer<StoreReply<Page>> then) {
            later(then, () -> new StoreReply.Done<>(new Page(items(), revision, false)));
        }

        @Override
        public void watch(long after, Duration wait, Consumer<StoreReply<Page>> then) {
            calls++;
            if (!reachable) {
                clock.schedule(() -> then.accept(new StoreReply.NoAnswer<>("cut off")), wait);
                return;
            }
            if (after < historyStart - 1) {
                then.accept(new StoreReply.HistoryGone<>());
                return;
            }
            Watch watch =
                    new Watch(
                            after,
                            reply ->
                                    then.accept(
                                            reachable
                                                    ? reply
                                                    : new StoreReply.NoAnswer<>("cut off")));
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
        public void write(StoreWrite change, Consumer<StoreReply<Long>> then) {
            later(
                    then,
                    () -> {
                        boolean holds =
                                change.conditions().stream()
                                        .allMatch(c -> revisionOf(c.key()) == c.revision());
                        if (!holds) {
                            return new StoreReply.Mismatch<>();
                        }
                        change.puts().forEach(p -> put(p.key(), p.value(), p.lease()));
                        change.deletes().forEach(FakeStore.this::delete);
                        return new StoreReply.Done<>(revision);
                    });
        }

        @Override
        public void grant(Duration ttl, Consumer<StoreReply<LeaseId>> then) {
            later(
                    then,
                    () -> {
                        LeaseId lease = new LeaseId(leaseNumbers++);
                        ttls.put(lease, ttl);
                        extend(lease, ttl);
                        return new StoreReply.Done<>(lease);
                    });
        }

        @Override
        public void renew(LeaseId lease, Consumer<StoreReply<LeaseId>> then) {
            later(
                    then,
                    () -> {
                        if (!leases.containsKey(lease)) {
                            return new StoreReply.Mismatch<>();
                        }
                        extend(lease, ttls.get(lease));
                        return new StoreReply.Done<>(lease);
                    });
        }

        @Override
        public void end(LeaseId lease, Consumer<StoreReply<LeaseId>> then) {
            later(
                    then,
                    () ->
                            FakeStore.this.end(lease)
                                    ? new StoreReply.Done<>(lease)
                                    : new StoreReply.Mismatch<>());
        }

        private long revisionOf(String key) {
            return Optional.ofNullable(values.get(key)).map(Value::revision).orElse(0L);
        }

        private <T> void later(
                Consumer<StoreReply<T>> then, java.util.function.Supplier<StoreReply<T>> call) {
            calls++;
            clock.schedule(
                    () ->
                            then.accept(
                                    reachable ? call.get() : new StoreReply.NoAnswer<>("cut off")),
                    DELAY);
        }
    }
}
