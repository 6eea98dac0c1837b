package org.carobstage.model;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Describes a database group and the limits of each of its instances.
 *
 * @param id the group
 * @param slots the maximum number of concurrent statements per instance
 * @param connections the maximum number of connections per instance
 * @param instances the instances
 */
public record GroupSpec(GroupId id, int slots, int connections, List<InstanceSpec> instances) {
    /**
     * Rejects null components, an empty list and limits below 1, and copies the collections.
     *
     * @throws IllegalArgumentException if there is no instance or a limit is not positive
     */
    public GroupSpec {
        requireNonNull(id, "id is null");
        instances = List.copyOf(instances);
        if (slots < 1 || connections < 1 || instances.isEmpty()) {
            throw new IllegalArgumentException("group needs instances, slots and connections");
        }
    }

    /**
     * Returns the number of instances that form a majority.
     *
     * @return the size of the smallest majority
     */
    public int majoritySize() {
        return instances.size() / 2 + 1;
    }
}
