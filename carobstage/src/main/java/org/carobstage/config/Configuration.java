package org.carobstage.config;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.carobstage.document.TeamDocument;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.ServiceName;

/**
 * The documents and groups that a process applies.
 *
 * @param documents the documents by service
 * @param groups the groups
 * @param drains the keys of the drains in force
 * @param ordered the primary of a group that an operator ordered last
 */
public record Configuration(
        Map<ServiceName, TeamDocument> documents,
        Map<GroupId, GroupSpec> groups,
        Set<String> drains,
        Map<GroupId, InstanceId> requestedPrimaries) {
    private static final Configuration EMPTY = new Configuration(Map.of(), Map.of());

    /** Checks the configuration. */
    public Configuration {
        documents = Map.copyOf(documents);
        groups = Map.copyOf(groups);
        drains = Set.copyOf(drains);
        requestedPrimaries = Map.copyOf(requestedPrimaries);
    }

    /**
     * Creates a configuration without drains.
     *
     * @param documents the documents by service
     * @param groups the groups
     */
    public Configuration(Map<ServiceName, TeamDocument> documents, Map<GroupId, GroupSpec> groups) {
        this(documents, groups, Set.of(), Map.of());
    }

    /**
     * Returns a configuration without documents and groups.
     *
     * @return the configuration
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Adds or replaces a document.
     *
     * @param document the document
     * @return the new configuration
     */
    public Configuration with(TeamDocument document) {
        Map<ServiceName, TeamDocument> next = new TreeMap<>(documents);
        next.put(document.service(), document);
        return new Configuration(next, groups, drains, requestedPrimaries);
    }

    /**
     * Adds or replaces a group.
     *
     * @param group the group
     * @return the new configuration
     */
    public Configuration with(GroupSpec group) {
        Map<GroupId, GroupSpec> next = new TreeMap<>(groups);
        next.put(group.id(), group);
        return new Configuration(documents, next, drains, requestedPrimaries);
    }

    /**
     * Tells whether a backend server gets no new work, as an operator or the platform's list says.
     *
     * @param group its group
     * @param instance its instance
     * @return true if it is drained
     */
    public boolean isDraining(GroupId group, InstanceId instance) {
        return drains.contains(ConfigurationKeys.drainKey(group, instance))
                || drains.contains(ConfigurationKeys.PLATFORM_BACKENDS + group + "/" + instance);
    }

    /**
     * Replaces the primary that an operator ordered last.
     *
     * @param group the group
     * @param primary the instance that shall be primary
     * @return the new configuration
     */
    public Configuration withRequestedPrimary(GroupId group, InstanceId primary) {
        Map<GroupId, InstanceId> next = new TreeMap<>(requestedPrimaries);
        next.put(group, primary);
        return new Configuration(documents, groups, drains, next);
    }

    Configuration withDrain(String key, boolean draining) {
        Set<String> next = new HashSet<>(drains);
        if (draining) {
            next.add(key);
        } else {
            next.remove(key);
        }
        return new Configuration(documents, groups, next, requestedPrimaries);
    }
}
