package org.carobstage.config;

import java.util.Map;
import java.util.TreeMap;
import org.carobstage.document.TeamDocument;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.ServiceName;

/**
 * The documents and groups that a process applies.
 *
 * @param documents the documents by service
 * @param groups the groups
 */
public record Configuration(
        Map<ServiceName, TeamDocument> documents, Map<GroupId, GroupSpec> groups) {
    private static final Configuration EMPTY = new Configuration(Map.of(), Map.of());

    /** Checks the configuration. */
    public Configuration {
        documents = Map.copyOf(documents);
        groups = Map.copyOf(groups);
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
        return new Configuration(next, groups);
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
        return new Configuration(documents, next);
    }
}
