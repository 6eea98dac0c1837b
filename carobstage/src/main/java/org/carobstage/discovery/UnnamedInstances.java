package org.carobstage.discovery;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;

/**
 * The entries of instances whose service the configuration does not name. They name no instance to
 * use, until a later configuration names their service.
 */
public final class UnnamedInstances {
    private final Map<InstanceId, InstanceEntry> entries = new TreeMap<>();

    private UnnamedInstances() {}

    /**
     * Creates a set without entries.
     *
     * @return the set
     */
    public static UnnamedInstances empty() {
        return new UnnamedInstances();
    }

    /**
     * Adds or replaces the entry of an instance.
     *
     * @param entry the entry
     * @return true if the instance had no entry of this service
     */
    public boolean put(InstanceEntry entry) {
        requireNonNull(entry, "entry is null");
        InstanceEntry before = entries.put(entry.id(), entry);
        return before == null || !before.service().equals(entry.service());
    }

    /**
     * Removes the entry of an instance.
     *
     * @param id the instance
     */
    public void remove(InstanceId id) {
        entries.remove(id);
    }

    /**
     * Removes the entries whose service is named.
     *
     * @param named returns whether a service is named
     * @return the removed entries, in order of id
     */
    public List<InstanceEntry> removeNamed(Predicate<ServiceName> named) {
        List<InstanceEntry> removed =
                entries.values().stream().filter(e -> named.test(e.service())).toList();
        removed.forEach(e -> entries.remove(e.id()));
        return removed;
    }
}
