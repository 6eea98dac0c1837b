package org.carobstage.discovery;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobstage.model.InstanceId;

/**
 * The registered instances. An entry that disappears is kept for a grace period, since entries also
 * expire while the store is unavailable. The grace period restarts when the store is back.
 */
public final class InstanceRegistry {
    /** Lost entries of running instances are registered again within 2 s. */
    private static final Duration GRACE_PERIOD = Duration.ofMillis(2_500);

    private final Map<InstanceId, InstanceEntry> entries = new TreeMap<>();
    private final Map<InstanceId, Long> missingSince = new LinkedHashMap<>();
    private final Map<InstanceId, InstanceEntry> outdated = new HashMap<>();

    private InstanceRegistry() {}

    /**
     * Creates a registry without entries.
     *
     * @return the registry
     */
    public static InstanceRegistry empty() {
        return new InstanceRegistry();
    }

    /**
     * Adds or replaces an entry.
     *
     * @param entry the entry
     * @return the replaced entry, if there was one
     */
    public Optional<InstanceEntry> put(InstanceEntry entry) {
        requireNonNull(entry, "entry is null");
        missingSince.remove(entry.id());
        return Optional.ofNullable(entries.put(entry.id(), entry));
    }

    /**
     * Returns whether an entry is outdated: the same run of the instance wrote another one later,
     * as in a store that was restored from a copy. Once such entries advance, the instance is
     * writing them, and the later one is an odd entry of another writer.
     *
     * @param entry the entry that the store shows
     * @return true if the entry must not replace the known one
     */
    public boolean isOutdated(InstanceEntry entry) {
        requireNonNull(entry, "entry is null");
        InstanceEntry earlier = outdated.remove(entry.id());
        boolean advances = earlier != null && earlier.isEarlierThan(entry);
        if (advances || find(entry.id()).filter(entry::isEarlierThan).isEmpty()) {
            return false;
        }
        outdated.put(entry.id(), entry);
        return true;
    }

    /**
     * Marks an entry as missing, which starts its grace period.
     *
     * @param id the instance
     * @param nowNanos the current monotonic time in ns
     */
    public void markMissing(InstanceId id, long nowNanos) {
        if (entries.containsKey(id)) {
            missingSince.putIfAbsent(id, nowNanos);
        }
    }

    /**
     * Ends the grace period of an entry that is listed again.
     *
     * @param id the instance
     */
    public void markPresent(InstanceId id) {
        missingSince.remove(id);
    }

    /**
     * Restarts the grace period of all missing entries after a store outage.
     *
     * @param nowNanos the current monotonic time in ns
     */
    public void restartGracePeriod(long nowNanos) {
        missingSince.replaceAll((id, since) -> nowNanos);
    }

    /**
     * Removes the entries whose grace period has elapsed.
     *
     * @param nowNanos the current monotonic time in ns
     * @return the removed entries
     */
    public List<InstanceEntry> expire(long nowNanos) {
        List<InstanceId> expired =
                missingSince.entrySet().stream()
                        .filter(e -> nowNanos - e.getValue() >= GRACE_PERIOD.toNanos())
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(missingSince::remove);
        expired.forEach(outdated::remove);
        return expired.stream().map(entries::remove).toList();
    }

    /**
     * Returns all entries, including the missing ones.
     *
     * @return the entries in order of id
     */
    public Collection<InstanceEntry> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * Finds an entry.
     *
     * @param id the instance
     * @return the entry, if the instance is registered
     */
    public Optional<InstanceEntry> find(InstanceId id) {
        return Optional.ofNullable(entries.get(id));
    }
}
