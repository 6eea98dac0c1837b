package org.carobstage.discovery;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobstage.model.InstanceId;

/**
 * The registered instances. An entry that vanishes is kept for a while, since entries also lapse
 * while the store is away; the wait starts anew when the store comes back.
 */
public final class InstanceRegistry {
    /** The registry restores the entries of living instances within two seconds. */
    private static final Duration MISSING_GRACE = Duration.ofMillis(2_500);

    private final Map<InstanceId, InstanceEntry> entries = new TreeMap<>();
    private final Map<InstanceId, Long> missingSince = new LinkedHashMap<>();

    private InstanceRegistry() {}

    /**
     * Creates a directory without entries.
     *
     * @return the directory
     */
    public static InstanceRegistry empty() {
        return new InstanceRegistry();
    }

    /**
     * Adds or replaces an entry.
     *
     * @param entry the entry
     * @return the entry that it replaces, if there was one
     */
    public Optional<InstanceEntry> put(InstanceEntry entry) {
        requireNonNull(entry, "entry is null");
        missingSince.remove(entry.id());
        return Optional.ofNullable(entries.put(entry.id(), entry));
    }

    /**
     * Notes that an entry is missing.
     *
     * @param id the instance
     * @param nowNanos the monotonic time
     */
    public void markMissing(InstanceId id, long nowNanos) {
        if (entries.containsKey(id)) {
            missingSince.putIfAbsent(id, nowNanos);
        }
    }

    /**
     * Starts the wait for missing entries anew, because the store was away.
     *
     * @param nowNanos the monotonic time
     */
    public void restartGracePeriod(long nowNanos) {
        missingSince.replaceAll((id, since) -> nowNanos);
    }

    /**
     * Drops the entries that have been missing for too long.
     *
     * @param nowNanos the monotonic time
     * @return the dropped entries
     */
    public List<InstanceEntry> expire(long nowNanos) {
        List<InstanceId> expired =
                missingSince.entrySet().stream()
                        .filter(e -> nowNanos - e.getValue() >= MISSING_GRACE.toNanos())
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(missingSince::remove);
        return expired.stream().map(entries::remove).toList();
    }

    /**
     * Returns all entries, the missing ones included.
     *
     * @return the entries by id
     */
    public Collection<InstanceEntry> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * Finds an entry.
     *
     * @param id the instance
     * @return its entry, if it is registered
     */
    public Optional<InstanceEntry> find(InstanceId id) {
        return Optional.ofNullable(entries.get(id));
    }
}
