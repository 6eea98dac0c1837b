package org.carobstage.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.carobstage.document.DocumentReader;
import org.carobstage.error.CodedException;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.platform.Entry;

/** The newest entries that this process has seen; a version never goes back. */
final class ConfigurationEntries {
    private static final int BUCKETS = 64;

    private final Map<String, Entry> newest = new HashMap<>();
    private final long[] buckets = new long[BUCKETS];
    private final BiConsumer<String, String> refused;
    private Configuration configuration = Configuration.empty();

    /** Creates entries; {@code refused} is told the key and the fault of one that fails. */
    ConfigurationEntries(BiConsumer<String, String> refused) {
        this.refused = refused;
    }

    /** Takes the entries that are newer than the known ones, and returns these. */
    List<Entry> merge(Collection<Entry> entries) {
        List<Entry> fresh = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.version() > version(entry.key())) {
                put(entry);
                fresh.add(entry);
            }
        }
        return fresh;
    }

    Configuration configuration() {
        return configuration;
    }

    long version(String key) {
        Entry entry = newest.get(key);
        return entry == null ? 0 : entry.version();
    }

    Entry get(String key) {
        return newest.getOrDefault(key, Entry.absent(key));
    }

    long digest() {
        long digest = 1;
        for (long bucket : buckets) {
            digest = digest * 31 + bucket;
        }
        return digest;
    }

    List<Long> buckets() {
        List<Long> list = new ArrayList<>();
        for (long bucket : buckets) {
            list.add(bucket);
        }
        return list;
    }

    /** Returns the numbers of the buckets that differ from a peer's. */
    List<Integer> differing(List<Long> theirs) {
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            if (i >= theirs.size() || theirs.get(i) != buckets[i]) {
                differing.add(i);
            }
        }
        return differing;
    }

    Map<String, Long> versions(Collection<Integer> numbers) {
        Set<Integer> chosen = new HashSet<>(numbers);
        return newest.values().stream()
                .filter(e -> chosen.contains(bucket(e.key())))
                .collect(Collectors.toMap(Entry::key, Entry::version));
    }

    List<Entry> all() {
        return List.copyOf(newest.values());
    }

    private void put(Entry entry) {
        Entry before = newest.put(entry.key(), entry);
        int bucket = bucket(entry.key());
        buckets[bucket] += hash(entry) - (before == null ? 0 : hash(before));
        try {
            configuration = apply(entry);
        } catch (CodedException e) {
            refused.accept(entry.key() + " version " + entry.version(), e.getMessage());
        }
    }

    private Configuration apply(Entry entry) {
        String key = entry.key();
        if (key.startsWith(ConfigurationKeys.DOCUMENTS)) {
            return configuration.with(DocumentReader.read(entry.value()));
        }
        if (key.startsWith(ConfigurationKeys.GROUPS)) {
            return configuration.with(GroupReader.read(entry.value()));
        }
        if (key.startsWith(ConfigurationKeys.PROMOTIONS)) {
            GroupId group = GroupId.of(key.substring(ConfigurationKeys.PROMOTIONS.length()));
            return configuration.withPrimary(group, InstanceId.of(entry.value().strip()));
        }
        boolean drain =
                key.startsWith(ConfigurationKeys.DRAINS)
                        || key.startsWith(ConfigurationKeys.LISTED);
        boolean draining = entry.value().lines().anyMatch(ConfigurationKeys.DRAINING::equals);
        return drain ? configuration.withDrain(key, draining) : configuration;
    }

    private static int bucket(String key) {
        return Math.floorMod(key.hashCode(), BUCKETS);
    }

    private static long hash(Entry entry) {
        long seed = entry.key().hashCode() * 1_000_003L + entry.version();
        return new SplittableRandom(seed).nextLong();
    }
}
