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
 * The configuration that a process applies.
 *
 * @param documents the documents by service
 * @param groups the groups by id
 * @param drains the keys of the active drains
 * @param requestedPrimaries the primary that an operator last requested for a group
 */
public record Configuration(
        Map<ServiceName, TeamDocument> documents,
        Map<GroupId, GroupSpec> groups,
        Set<String> drains,
        Map<GroupId, InstanceId> requestedPrimaries) {
    private static final Configuration EMPTY = new Configuration(Map.of(), Map.of());

    /** Copies the collections. */
    public Configuration {
        documents = Map.copyOf(documents);
        groups = Map.copyOf(groups);
        drains = Set.copyOf(drains);
        requestedPrimaries = Map.copyOf(requestedPrimaries);
    }

    /**
     * Creates a configuration without drains or requested primaries.
     *
     * @param documents the documents by service
     * @param groups the groups by id
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
    public Configuration withDocument(TeamDocument document) {
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
    public Configuration withGroup(GroupSpec group) {
        Map<GroupId, GroupSpec> next = new TreeMap<>(groups);
        next.put(group.id(), group);
        return new Configuration(documents, next, drains, requestedPrimaries);
    }

    /**
     * Returns whether a backend server is drained and receives no new work, either by an operator
     * or because the platform lists it as leaving.
     *
     * @param group the backend server's group
     * @param instance the backend server's instance
     * @return true if the backend server is drained
     */
    public boolean isDraining(GroupId group, InstanceId instance) {
        return drains.contains(ConfigurationKeys.drainKey(group, instance))
                || drains.contains(
                        ConfigurationKeys.PLATFORM_BACKEND_PREFIX + group + "/" + instance);
    }

    /**
     * Sets the primary that an operator last requested for a group.
     *
     * @param group the group
     * @param primary the requested primary
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
